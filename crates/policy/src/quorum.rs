//! The fence, a majority lease: a balancer may dispatch non-idempotent requests only while a majority of its zone has
//! recently acknowledged its probes.
//!
//! An acknowledgement is valid from the time at which its probe was *sent*, so neither a one-way path nor a pause of
//! this process extends the lease. See [the fence](../../../docs/design.md#6-requests).

use {
    crate::id::{Map, Set, VmId},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Time for which an acknowledgement counts, from when its probe was sent. It is shorter than the time to declare a
/// member dead, so a balancer loses the fence before its flows get a new owner.
pub const ACK_VALIDITY: Duration = Duration::from_secs(2);

/// Summary of a quorum that each probe and acknowledgement carries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, Option<VmId>)", into = "(u32, Option<VmId>)")]
pub struct QuorumReport {
    /// Digest of the voters; 0 while the quorum is not formed.
    pub digest: u32,
    /// Member that is being added as a voter.
    pub joining: Option<VmId>,
}

/// The voters of one zone as known to one balancer, and their latest acknowledgements.
///
/// Voters are added one at a time, and only after every voter has reported the same addition. Until then, the balancer
/// needs a majority both with and without the new voter. The voter sets of all balancers therefore form a chain in
/// which the majorities of adjacent sets always overlap.
#[derive(Clone, Debug)]
pub struct Quorum {
    me: VmId,
    formed: bool,
    voters: BTreeSet<VmId>,
    /// Member that is being added as a voter.
    joining: Option<VmId>,
    /// Members that left, which voter lists of other members must not bring back.
    removed: Set<VmId>,
    acks: Map<VmId, Ack>,
}

/// Latest acknowledgement of a voter.
#[derive(Clone, Copy, Debug)]
struct Ack {
    /// Time at which the acknowledged probe was sent.
    sent: Duration,
    report: QuorumReport,
}

impl Quorum {
    /// Creates a quorum without voters, which has no majority until it is formed.
    pub fn new(me: VmId) -> Quorum {
        Quorum {
            me,
            formed: false,
            voters: BTreeSet::new(),
            joining: None,
            removed: Set::default(),
            acks: Map::default(),
        }
    }

    /// Returns whether a majority has recently acknowledged probes, so that the balancer may dispatch non-idempotent
    /// requests.
    pub fn has_majority(&self, now: Duration) -> bool {
        let is_majority_heard = |joining: Option<VmId>| {
            let voters = self.voters.iter().copied().chain(joining);
            let (mut all, mut heard) = (0, 0);
            for voter in voters {
                all += 1;
                heard += usize::from(self.is_heard(voter, now));
            }
            heard * 2 > all
        };
        self.formed
            && is_majority_heard(None)
            && (self.joining.is_none() || is_majority_heard(self.joining))
    }

    /// Returns whether the voters are known.
    ///
    /// They come from the VM list or from another member of the zone.
    pub fn is_formed(&self) -> bool {
        self.formed
    }

    /// Returns the voters in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = VmId> + '_ {
        self.voters.iter().copied()
    }

    /// Returns the summary that this balancer sends to its peers.
    pub fn report(&self) -> QuorumReport {
        QuorumReport {
            digest: if self.formed {
                digest(&self.voters, None)
            } else {
                0
            },
            joining: self.joining,
        }
    }

    /// Records that a member acknowledged a probe that was sent at `sent`.
    pub fn record_ack(&mut self, member: VmId, sent: Duration, report: QuorumReport) {
        let ack = self.acks.entry(member).or_insert(Ack { sent, report });
        ack.sent = ack.sent.max(sent);
        ack.report = report;
    }

    /// Forms the quorum of a starting zone from the VM list.
    ///
    /// Every listed member must have acknowledged a probe and have either no quorum yet or one with the same voters.
    /// Balancers that start on one side of a partition therefore never form a second quorum.
    pub fn form(&mut self, now: Duration, listed: impl IntoIterator<Item = VmId>) {
        let listed: BTreeSet<VmId> = listed.into_iter().collect();
        let may_join = |voter: &VmId| {
            *voter == self.me
                || self.is_heard(*voter, now) && {
                    let theirs = self.acks[voter].report.digest;
                    theirs == 0 || theirs == digest(&listed, None)
                }
        };
        if !self.formed && listed.contains(&self.me) && listed.iter().all(may_join) {
            self.voters = listed;
            self.formed = true;
        }
    }

    /// Adopts the voters that a member of the same zone has sent.
    pub fn adopt_voters(&mut self, voters: &[VmId]) {
        if voters.is_empty() {
            return;
        }
        let voters = voters.iter().filter(|voter| !self.removed.contains(voter));
        self.voters.extend(voters);
        self.formed = true;
        self.joining = self.joining.filter(|it| !self.voters.contains(it));
    }

    /// Removes a member that announced its departure or that the VM list no longer contains.
    pub fn remove_voter(&mut self, member: VmId) {
        self.voters.remove(&member);
        self.joining = self.joining.filter(|&it| it != member);
        self.removed.insert(member);
    }

    /// Advances the addition of live members of the zone as voters.
    pub fn admit_members(&mut self, now: Duration, live: impl IntoIterator<Item = VmId>) {
        let mut candidates = Vec::new();
        for member in live {
            self.removed.remove(&member);
            if !self.voters.contains(&member) {
                candidates.push(member);
            }
        }
        if !self.formed {
            return;
        }
        let mine = self.report().digest;
        let reported = self.voters.iter().filter_map(|voter| {
            let report = self.acks.get(voter)?.report;
            report.joining.filter(|_| report.digest == mine)
        });
        let reported = reported.filter(|it| !self.removed.contains(it)).min();
        // Of concurrent additions, the one with the lowest identifier wins. A balancer never returns to a higher one,
        // so no balancer can have completed an addition that some voter has not reported.
        self.joining = match (self.joining, reported) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (None, None) if self.has_majority(now) => candidates.into_iter().min(),
            (own, other) => own.or(other),
        };
        self.complete_admission();
    }

    /// Adds the joining member once all voters and that member report the same addition.
    fn complete_admission(&mut self) {
        let Some(joining) = self.joining else {
            return;
        };
        let before = self.report();
        let after = digest(&self.voters, Some(joining));
        let agrees = |voter: VmId| {
            voter == self.me
                || self
                    .acks
                    .get(&voter)
                    .is_some_and(|ack| ack.report == before || ack.report.digest == after)
        };
        if self.voters().chain([joining]).all(agrees) {
            self.voters.insert(joining);
            self.joining = None;
        }
    }

    fn is_heard(&self, voter: VmId, now: Duration) -> bool {
        voter == self.me
            || self
                .acks
                .get(&voter)
                .is_some_and(|ack| now.saturating_sub(ack.sent) < ACK_VALIDITY)
    }
}

impl From<(u32, Option<VmId>)> for QuorumReport {
    fn from((digest, joining): (u32, Option<VmId>)) -> QuorumReport {
        QuorumReport { digest, joining }
    }
}

impl From<QuorumReport> for (u32, Option<VmId>) {
    fn from(report: QuorumReport) -> (u32, Option<VmId>) {
        (report.digest, report.joining)
    }
}

fn digest(voters: &BTreeSet<VmId>, joining: Option<VmId>) -> u32 {
    let hash = |id: VmId| xxh3_64(&id.to_be_bytes()) as u32;
    let joining = joining.filter(|it| !voters.contains(it));
    let all = voters.iter().copied().chain(joining);
    // 0 is reserved for a quorum that is not formed.
    all.fold(0, |sum, id| sum ^ hash(id)).max(1)
}
