//! The present view of the members and the previous ones that still matter.
//!
//! A flow without an entry is looked up in the previous views, until each of their members has handed over its flows
//! or has died. See [membership changes](../../../docs/design.md#7-membership-changes-and-handover).

use {
    crate::{
        dedupe::QUARANTINE,
        flow::Hash,
        handover::Digest,
        id::{Map, Set, VmId},
        owner::{Decision, View},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Previous views that are kept; flows of older ones are quarantined.
const VIEWS: usize = 32;

/// Time after which a balancer that is in no view is taken to be gone; above the bound on differing views.
const CONTACT: Duration = Duration::from_secs(10);

/// Time between two records of a contact, so that not every message copies the history.
const CONTACT_STEP: Duration = Duration::from_secs(1);

/// The views of one balancer, immutable and swapped as a whole.
#[derive(Clone, Debug, Default)]
pub struct History {
    id: VmId,
    current: Arc<View>,
    successor: Arc<View>,
    number: u32,
    term: u32,
    previous: Vec<Previous>,
    overflow: Duration,
    contacts: Map<VmId, Contact>,
}

/// A balancer that this one learned of from a message, because its own view is older.
#[derive(Clone, Copy, Debug)]
struct Contact {
    address: SocketAddr,
    heard: Duration,
}

#[derive(Clone, Debug)]
struct Previous {
    view: Arc<View>,
    /// Members that may hold flows.
    pending: Set<VmId>,
    /// Members that took their flows with them, and the end of the quarantine.
    lost: Map<VmId, Duration>,
    /// Views without a silent member, which name the balancers that have copies of its exceptions.
    heirs: Map<VmId, Arc<View>>,
    /// Whether the views before this one are unknown, so that a flow may also be at a member that does not own it.
    is_first: bool,
    /// End of the quarantine of flows that another zone may have served.
    foreign_until: Duration,
}

/// Where a flow without an entry may be.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Trace {
    /// Balancers that may hold it, latest view first.
    pub ask: Vec<VmId>,
    /// End of the quarantine that follows if none of them holds it.
    pub quarantined_until: Duration,
}

impl History {
    /// Creates the history of a balancer that knows no members.
    pub fn new(id: VmId) -> History {
        History {
            id,
            ..History::default()
        }
    }

    /// Returns the view in force.
    pub fn current(&self) -> &View {
        &self.current
    }

    /// Returns the view that would follow if this balancer crashed.
    pub fn successor(&self) -> &View {
        &self.successor
    }

    /// Returns the number of views so far.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns how often the fence has lapsed.
    pub fn term(&self) -> u32 {
        self.term
    }

    /// Puts a view in force.
    pub fn advance(&mut self, now: Duration, view: View) {
        let view = Arc::new(view);
        if self.number > 0 && view.digest() == self.current.digest() {
            self.current = view;
        } else {
            self.replace(now, view);
        }
        self.mark_lost(now);
        self.prune(now);
    }

    /// Records that others may have taken over flows of this balancer while its fence had lapsed.
    pub fn lapse(&mut self) {
        self.term += 1;
        self.push(self.successor.clone(), Duration::ZERO);
    }

    /// Records that a member of the present view has handed over every flow that belongs elsewhere.
    pub fn complete(&mut self, now: Duration, from: VmId) {
        for previous in &mut self.previous {
            previous.pending.remove(&from);
        }
        self.prune(now);
    }

    /// Records that a member lost its flows in a restart.
    pub fn restarted(&mut self, now: Duration, id: VmId) {
        for previous in &mut self.previous {
            previous.lose(id, now + QUARANTINE);
        }
        let mut present = Previous::new(self.current.clone(), self.id, Duration::ZERO);
        present.pending.retain(|&member| member == id);
        present.lose(id, now + QUARANTINE);
        self.previous.push(present);
    }

    /// Returns whether [`suspect`](History::suspect) would add anything.
    pub fn is_unsuspected(&self, id: VmId) -> bool {
        let mut previous = self.previous.iter();
        previous.any(|one| one.view.is_member(id) && !one.heirs.contains_key(&id))
    }

    /// Records that a member does not answer claims, so that the holder of copies is asked as well.
    pub fn suspect(&mut self, id: VmId) {
        for previous in &mut self.previous {
            previous.suspect(id);
        }
    }

    /// Returns where a flow may be, apart from this balancer and `except`.
    pub fn trace(&self, now: Duration, flow: Hash, except: VmId) -> Trace {
        let mut trace = Trace {
            ask: Vec::new(),
            quarantined_until: self.overflow,
        };
        for previous in self.previous.iter().rev() {
            previous.trace(self, now, flow, &mut trace);
        }
        trace.ask.retain(|&id| id != except);
        trace
    }

    /// Returns whether a member may still hold flows that now belong to this balancer.
    pub fn is_pending(&self, id: VmId) -> bool {
        let mut previous = self.previous.iter();
        previous.any(|previous| previous.pending.contains(&id))
    }

    /// Returns the remaining time in which flows without an entry may be in quarantine here.
    pub fn quarantine(&self, now: Duration) -> Duration {
        let lost = self.previous.iter().flat_map(|one| one.lost.values());
        let foreign = self.previous.iter().map(|one| &one.foreign_until);
        let until = lost.chain(foreign).chain([&self.overflow]).max();
        until.map_or(Duration::ZERO, |until| until.saturating_sub(now))
    }

    /// Records that a leaving member has handed over its flows, but flows without an entry are in quarantine.
    pub fn complete_in_quarantine(&mut self, now: Duration, from: VmId, quarantine: Duration) {
        for previous in &mut self.previous {
            previous.lose(from, now + quarantine);
        }
    }

    /// Returns the digest of the view in force.
    pub fn digest(&self) -> Digest {
        self.current.digest()
    }

    /// Returns whether a balancer can answer a claim.
    pub fn reaches(&self, now: Duration, id: VmId) -> bool {
        self.address(now, id).is_some()
    }

    /// Returns the address of a balancer's peer socket.
    pub fn address(&self, now: Duration, id: VmId) -> Option<SocketAddr> {
        let contact = self.contacts.get(&id);
        let contact = contact.filter(|contact| now < contact.heard + CONTACT);
        let known = self.current.address(id);
        known.or(contact.map(|contact| contact.address))
    }

    /// Returns whether [`hear`](History::hear) would add anything.
    pub fn is_news(&self, now: Duration, id: VmId) -> bool {
        let heard = self.contacts.get(&id).map(|contact| contact.heard);
        let is_recent = heard.is_some_and(|heard| now < heard + CONTACT_STEP);
        !is_recent && self.current.address(id).is_none()
    }

    /// Records a message of a balancer that is not in the view.
    pub fn hear(&mut self, now: Duration, id: VmId, address: SocketAddr) {
        let heard = now;
        self.contacts.insert(id, Contact { address, heard });
    }

    /// Returns whether this balancer serves a flow as the acting owner.
    pub fn is_acting(&self, flow: Hash) -> bool {
        self.current.decide(flow) == Decision::Acting(self.id)
    }

    fn replace(&mut self, now: Duration, view: Arc<View>) {
        let successor = Arc::new(view.without(self.id));
        // A balancer that has just started takes the present members to have owned the flows before it.
        let previous = match self.number {
            0 => successor.clone(),
            _ => self.current.clone(),
        };
        let foreign_until = if previous.zones_remain_in(&view) {
            Duration::ZERO
        } else {
            now + QUARANTINE
        };
        self.current = view;
        self.successor = successor;
        self.number += 1;
        self.push(previous, foreign_until);
        if self.number == 1 {
            self.open_first();
        }
        if self.previous.len() > VIEWS {
            self.previous.remove(0);
            self.overflow = now + QUARANTINE;
        }
    }

    fn open_first(&mut self) {
        let leaving = self.current.leaving().iter().map(|member| member.id);
        if let Some(first) = self.previous.last_mut() {
            first.is_first = true;
            first.pending.extend(leaving.filter(|&id| id != self.id));
        }
    }

    fn push(&mut self, view: Arc<View>, foreign_until: Duration) {
        self.previous
            .push(Previous::new(view, self.id, foreign_until));
    }

    fn mark_lost(&mut self, now: Duration) {
        let current = self.current.clone();
        for previous in &mut self.previous {
            let gone = previous.pending.iter().copied();
            let gone: Vec<VmId> = gone.filter(|&id| current.address(id).is_none()).collect();
            for id in gone {
                previous.lose(id, now + QUARANTINE);
            }
        }
    }

    fn prune(&mut self, now: Duration) {
        self.contacts
            .retain(|_, contact| now < contact.heard + CONTACT);
        for previous in &mut self.previous {
            previous.lost.retain(|_, until| *until > now);
        }
        self.previous.retain(|previous| {
            !previous.pending.is_empty()
                || !previous.lost.is_empty()
                || previous.foreign_until > now
        });
    }
}

impl Previous {
    fn new(view: Arc<View>, own: VmId, foreign_until: Duration) -> Previous {
        let members = view.members().iter().map(|member| member.id);
        Previous {
            pending: members.filter(|&id| id != own).collect(),
            lost: Map::default(),
            heirs: Map::default(),
            is_first: false,
            foreign_until,
            view,
        }
    }

    fn lose(&mut self, id: VmId, until: Duration) {
        if self.pending.remove(&id) {
            self.lost.insert(id, until);
            self.suspect(id);
        }
    }

    fn suspect(&mut self, id: VmId) {
        if self.view.is_member(id) && !self.heirs.contains_key(&id) {
            self.heirs.insert(id, Arc::new(self.view.without(id)));
        }
    }

    fn trace(&self, history: &History, now: Duration, flow: Hash, trace: &mut Trace) {
        let decision = self.view.decide(flow);
        if matches!(decision, Decision::Acting(_)) && self.foreign_until > now {
            trace.quarantined_until = trace.quarantined_until.max(self.foreign_until);
        }
        let Some(id) = decision.balancer() else {
            return;
        };
        let until = self.lost.get(&id).copied().unwrap_or_default();
        trace.quarantined_until = trace.quarantined_until.max(until);
        if self.pending.contains(&id) || until > now {
            trace.add(history, now, Some(id));
            let heirs = self.heirs.get(&id);
            let heir = heirs.and_then(|heirs| heirs.decide(flow).balancer());
            trace.add(history, now, heir);
        } else if self.is_first {
            for &id in &self.pending {
                trace.add(history, now, Some(id));
            }
        }
    }
}

impl Trace {
    fn add(&mut self, history: &History, now: Duration, id: Option<VmId>) {
        let id = id.filter(|&id| id != history.id && history.reaches(now, id));
        let new = id.filter(|id| !self.ask.contains(id));
        self.ask.extend(new);
    }
}
