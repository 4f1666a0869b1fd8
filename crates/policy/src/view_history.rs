//! The current membership view, and the previous views that are still needed to find the holder of a flow.
//!
//! A flow without an entry may be held by its owner in a previous view. A previous view is kept until each of its
//! members has handed over its flows, or has died and its quarantine is over. See
//! [membership changes](../../../docs/design.md#7-membership-changes-and-handover).

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

/// Maximum number of previous views that are kept.
///
/// When the oldest view is dropped, flows without an entry enter quarantine, because their holder is not known.
const MAX_PREVIOUS_VIEWS: usize = 32;

/// Time without a message after which a balancer that is not in the view counts as unreachable.
///
/// Must exceed the time for which the views of two balancers may differ.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum time between two updates of a contact, because each update copies the history.
const CONTACT_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The current and the previous views of one balancer; immutable and replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct ViewHistory {
    id: VmId,
    current: Arc<View>,
    successor: Arc<View>,
    view_number: u32,
    term: u32,
    previous: Vec<PreviousView>,
    /// End of the quarantine that began when a previous view was dropped because of [`MAX_PREVIOUS_VIEWS`].
    overflow_quarantine_until: Duration,
    contacts: Map<VmId, Contact>,
}

/// A balancer that is known from its messages but is not in the current view yet.
#[derive(Clone, Copy, Debug)]
struct Contact {
    address: SocketAddr,
    last_heard: Duration,
}

/// A view that was replaced while some of its members may still hold flows.
#[derive(Clone, Debug)]
struct PreviousView {
    view: Arc<View>,
    /// Members that may still hold flows.
    pending: Set<VmId>,
    /// Members whose flows were lost, with the end of the quarantine of these flows.
    lost: Map<VmId, Duration>,
    /// For each unresponsive member the view without it, whose owners have the copies of that member's exceptions.
    successor_views: Map<VmId, Arc<View>>,
    /// Whether this is the first view, so that a flow may also be held by a member that owned it in an unknown earlier
    /// view.
    is_first: bool,
    /// End of the quarantine of flows with an acting owner in this view, which their home zone may have served as well.
    acting_quarantine_until: Duration,
}

/// The balancers that may hold a flow without an entry here.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PossibleHolders {
    /// Balancers to ask for the flow, latest view first.
    pub candidates: Vec<VmId>,
    /// End of the quarantine that applies if none of them holds the flow.
    pub quarantined_until: Duration,
}

impl ViewHistory {
    /// Creates the history of a balancer without members.
    pub fn new(id: VmId) -> ViewHistory {
        ViewHistory {
            id,
            ..ViewHistory::default()
        }
    }

    /// Returns the current view.
    pub fn current(&self) -> &View {
        &self.current
    }

    /// Returns the current view without this balancer, which would follow if it crashed.
    pub fn successor(&self) -> &View {
        &self.successor
    }

    /// Returns the number of views so far.
    pub fn view_number(&self) -> u32 {
        self.view_number
    }

    /// Returns the fence term, which is the number of times that the fence has lapsed.
    pub fn term(&self) -> u32 {
        self.term
    }

    /// Replaces the current view.
    pub fn advance(&mut self, now: Duration, view: View) {
        let view = Arc::new(view);
        if self.view_number > 0 && view.digest() == self.current.digest() {
            self.current = view;
        } else {
            self.replace(now, view);
        }
        self.mark_departed_members(now);
        self.prune(now);
    }

    /// Records that the fence had lapsed, so that other balancers may have taken over flows of this one.
    pub fn record_fence_lapse(&mut self) {
        self.term += 1;
        self.push_previous(self.successor.clone(), Duration::ZERO);
    }

    /// Records that a member of the current view has handed over all flows that it no longer owns.
    pub fn record_completion(&mut self, now: Duration, from: VmId) {
        for previous in &mut self.previous {
            previous.pending.remove(&from);
        }
        self.prune(now);
    }

    /// Records that a member lost its flows in a restart.
    pub fn record_restart(&mut self, now: Duration, id: VmId) {
        for previous in &mut self.previous {
            previous.mark_flows_lost(id, now + QUARANTINE);
        }
        let mut current = PreviousView::new(self.current.clone(), self.id, Duration::ZERO);
        current.pending.retain(|&member| member == id);
        current.mark_flows_lost(id, now + QUARANTINE);
        self.previous.push(current);
    }

    /// Returns whether [`mark_unresponsive`](ViewHistory::mark_unresponsive) would change anything.
    pub fn needs_unresponsive_mark(&self, id: VmId) -> bool {
        let mut previous = self.previous.iter();
        previous.any(|one| one.view.is_member(id) && !one.successor_views.contains_key(&id))
    }

    /// Records that a member does not answer claims, so that balancers with copies of its entries are asked as well.
    pub fn mark_unresponsive(&mut self, id: VmId) {
        for previous in &mut self.previous {
            previous.mark_unresponsive(id);
        }
    }

    /// Returns the balancers that may hold a flow, apart from this one and `except`.
    pub fn possible_holders(&self, now: Duration, flow: Hash, except: VmId) -> PossibleHolders {
        let mut holders = PossibleHolders {
            candidates: Vec::new(),
            quarantined_until: self.overflow_quarantine_until,
        };
        for previous in self.previous.iter().rev() {
            previous.add_possible_holders(self, now, flow, &mut holders);
        }
        holders.candidates.retain(|&id| id != except);
        holders
    }

    /// Returns whether a member may still hold flows that now belong to this balancer.
    pub fn is_pending(&self, id: VmId) -> bool {
        let mut previous = self.previous.iter();
        previous.any(|previous| previous.pending.contains(&id))
    }

    /// Returns the remaining time for which flows without an entry may be in quarantine here.
    pub fn remaining_quarantine(&self, now: Duration) -> Duration {
        let lost = self.previous.iter().flat_map(|one| one.lost.values());
        let acting = self.previous.iter().map(|one| &one.acting_quarantine_until);
        let until = lost
            .chain(acting)
            .chain([&self.overflow_quarantine_until])
            .max();
        until.map_or(Duration::ZERO, |until| until.saturating_sub(now))
    }

    /// Records that a draining member has handed over its flows while flows without an entry were in quarantine there.
    pub fn record_completion_in_quarantine(
        &mut self,
        now: Duration,
        from: VmId,
        quarantine: Duration,
    ) {
        for previous in &mut self.previous {
            previous.mark_flows_lost(from, now + quarantine);
        }
    }

    /// Returns the digest of the current view.
    pub fn digest(&self) -> Digest {
        self.current.digest()
    }

    /// Returns whether the address of a balancer is known, so that it can answer a claim.
    pub fn is_reachable(&self, now: Duration, id: VmId) -> bool {
        self.address(now, id).is_some()
    }

    /// Returns the address of a balancer's peer socket.
    pub fn address(&self, now: Duration, id: VmId) -> Option<SocketAddr> {
        let contact = self.contacts.get(&id);
        let contact = contact.filter(|contact| now < contact.last_heard + CONTACT_TIMEOUT);
        let known = self.current.address(id);
        known.or(contact.map(|contact| contact.address))
    }

    /// Returns whether [`record_contact`](ViewHistory::record_contact) would change anything.
    pub fn needs_contact_update(&self, now: Duration, id: VmId) -> bool {
        let last_heard = self.contacts.get(&id).map(|contact| contact.last_heard);
        let is_recent =
            last_heard.is_some_and(|last_heard| now < last_heard + CONTACT_UPDATE_INTERVAL);
        !is_recent && self.current.address(id).is_none()
    }

    /// Records a message from a balancer that is not in the view.
    pub fn record_contact(&mut self, now: Duration, id: VmId, address: SocketAddr) {
        let last_heard = now;
        self.contacts.insert(
            id,
            Contact {
                address,
                last_heard,
            },
        );
    }

    /// Returns whether this balancer serves a flow as the acting owner.
    pub fn is_acting(&self, flow: Hash) -> bool {
        self.current.decide(flow) == Decision::Acting(self.id)
    }

    fn replace(&mut self, now: Duration, view: Arc<View>) {
        let successor = Arc::new(view.without(self.id));
        // A balancer that has just started assumes that the other members owned its flows before.
        let previous = match self.view_number {
            0 => successor.clone(),
            _ => self.current.clone(),
        };
        let acting_quarantine_until = if previous.zones_remain_in(&view) {
            Duration::ZERO
        } else {
            now + QUARANTINE
        };
        self.current = view;
        self.successor = successor;
        self.view_number += 1;
        self.push_previous(previous, acting_quarantine_until);
        if self.view_number == 1 {
            self.include_leaving_in_first();
        }
        if self.previous.len() > MAX_PREVIOUS_VIEWS {
            self.previous.remove(0);
            self.overflow_quarantine_until = now + QUARANTINE;
        }
    }

    fn include_leaving_in_first(&mut self) {
        let leaving = self.current.leaving().iter().map(|member| member.id);
        if let Some(first) = self.previous.last_mut() {
            first.is_first = true;
            first.pending.extend(leaving.filter(|&id| id != self.id));
        }
    }

    fn push_previous(&mut self, view: Arc<View>, acting_quarantine_until: Duration) {
        self.previous
            .push(PreviousView::new(view, self.id, acting_quarantine_until));
    }

    fn mark_departed_members(&mut self, now: Duration) {
        let current = self.current.clone();
        for previous in &mut self.previous {
            let gone = previous.pending.iter().copied();
            let gone: Vec<VmId> = gone.filter(|&id| current.address(id).is_none()).collect();
            for id in gone {
                previous.mark_flows_lost(id, now + QUARANTINE);
            }
        }
    }

    fn prune(&mut self, now: Duration) {
        self.contacts
            .retain(|_, contact| now < contact.last_heard + CONTACT_TIMEOUT);
        for previous in &mut self.previous {
            previous.lost.retain(|_, until| *until > now);
        }
        self.previous.retain(|previous| {
            !previous.pending.is_empty()
                || !previous.lost.is_empty()
                || previous.acting_quarantine_until > now
        });
    }
}

impl PreviousView {
    fn new(view: Arc<View>, own: VmId, acting_quarantine_until: Duration) -> PreviousView {
        let members = view.members().iter().map(|member| member.id);
        PreviousView {
            pending: members.filter(|&id| id != own).collect(),
            lost: Map::default(),
            successor_views: Map::default(),
            is_first: false,
            acting_quarantine_until,
            view,
        }
    }

    fn mark_flows_lost(&mut self, id: VmId, until: Duration) {
        if self.pending.remove(&id) {
            self.lost.insert(id, until);
            self.mark_unresponsive(id);
        }
    }

    fn mark_unresponsive(&mut self, id: VmId) {
        if self.view.is_member(id) && !self.successor_views.contains_key(&id) {
            self.successor_views
                .insert(id, Arc::new(self.view.without(id)));
        }
    }

    fn add_possible_holders(
        &self,
        history: &ViewHistory,
        now: Duration,
        flow: Hash,
        holders: &mut PossibleHolders,
    ) {
        let decision = self.view.decide(flow);
        if matches!(decision, Decision::Acting(_)) && self.acting_quarantine_until > now {
            holders.quarantined_until = holders.quarantined_until.max(self.acting_quarantine_until);
        }
        let Some(id) = decision.balancer() else {
            return;
        };
        let until = self.lost.get(&id).copied().unwrap_or_default();
        holders.quarantined_until = holders.quarantined_until.max(until);
        if self.pending.contains(&id) || until > now {
            holders.add(history, now, Some(id));
            let successor_view = self.successor_views.get(&id);
            let successor = successor_view.and_then(|view| view.decide(flow).balancer());
            holders.add(history, now, successor);
        } else if self.is_first {
            for &id in &self.pending {
                holders.add(history, now, Some(id));
            }
        }
    }
}

impl PossibleHolders {
    fn add(&mut self, history: &ViewHistory, now: Duration, id: Option<VmId>) {
        let id = id.filter(|&id| id != history.id && history.is_reachable(now, id));
        let new = id.filter(|id| !self.candidates.contains(id));
        self.candidates.extend(new);
    }
}
