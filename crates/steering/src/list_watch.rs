//! State machine that follows one kind of object in the store: it lists the objects, watches for changes and retries
//! failed calls.

use {
    crate::{
        gossip::Role,
        position::{Epoch, Position, Revision},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Settings of a [`ListWatch`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum time for which a watch waits for a change.
    pub watch_timeout: Duration,
    /// The same for a reader, on which the other balancers of the zone rely. A connection through a middlebox can go
    /// silent although its keep-alive probes are answered, which shows only when the watch times out. Together with the
    /// time that a call may take, it is less than the 4 s in which the platform expects a balancer to catch up.
    pub reader_watch_timeout: Duration,
    /// Time between the response to a watch and the next watch, so that one response carries many changes.
    pub min_watch_interval: Duration,
    /// Backoff before the first retry of a failed call; it doubles with each further failure.
    pub initial_backoff: Duration,
    /// Maximum backoff before jitter, a third of the time in which a change has to become active.
    pub max_backoff: Duration,
    /// Maximum time for which the first list waits for the tables of a peer before it requests its second page. Two
    /// balancers of each zone list without this wait, and their tables take a few hops of about 200 ms to reach the
    /// others.
    pub peer_tables_timeout: Duration,
    /// Whether the first list, too, waits for the tables of a peer, and is from the current store. The objects are then
    /// so few that the tables of any peer have them.
    pub prefers_peers: bool,
    /// Time from the tables of a peer that replace such a list to the first watch: longer than the first election takes,
    /// since most balancers are followers then and make none, and shorter than the 5 s in which a change has to be in
    /// force, in case that all peers end. Until then, those that list watch for the others.
    pub first_watch_delay: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            watch_timeout: Duration::from_secs(30),
            reader_watch_timeout: Duration::from_millis(1_500),
            min_watch_interval: Duration::from_millis(400),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(1),
            peer_tables_timeout: Duration::from_millis(1_500),
            prefers_peers: false,
            first_watch_delay: Duration::from_millis(4_500),
        }
    }
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// List a page of objects.
    List {
        /// Name of the last object on the previous page; `None` for the first page.
        after: Option<String>,
        /// Whether the list has to be current, so that a replica of the store, which may lag by seconds, must not
        /// serve it.
        is_current: bool,
    },
    /// Wait for a change after a revision.
    Watch {
        /// The revision.
        revision: Revision,
        /// Maximum time for which the store waits for a change.
        timeout: Duration,
    },
}

/// Outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// One page of a list.
    Page {
        /// Position of the store at which the page was read.
        position: Position,
        /// Name of the last object on the page if another page follows.
        next: Option<String>,
    },
    /// Changes up to a position; none if the watch timed out.
    Changes {
        /// The position.
        position: Position,
    },
    /// The store does not have the changes after the requested revision.
    Gone,
    /// The call failed or its response was unusable.
    Failed,
}

impl CallOutcome {
    /// Returns the position of the store in the response, if there is one.
    pub fn position(&self) -> Option<Position> {
        match self {
            CallOutcome::Page { position, .. } | CallOutcome::Changes { position } => {
                Some(*position)
            }
            CallOutcome::Gone | CallOutcome::Failed => None,
        }
    }
}

/// Tables that a starting balancer gets from a peer instead of a full list.
///
/// With thousands of registered upstreams, a full list has many pages, and all balancers of a fleet that starts at once
/// would request them from the store at the same time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PeerTables {
    /// A peer may still send its tables.
    #[default]
    Pending,
    /// No tables are to be expected, as this balancer lists the store for its peers.
    Unavailable,
    /// A peer has sent its tables, which contain all changes up to a position.
    Received(Position),
}

/// What to do with the objects in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContentAction {
    /// Collect the objects, as further pages of the list follow.
    Collect,
    /// Replace all known objects by the collected ones and those of this last page.
    Replace,
    /// Apply the changes to the known objects.
    Apply,
    /// Discard the objects, the collected ones too.
    Ignore,
}

/// Follows one kind of object in the store.
///
/// It makes no calls itself: [`ListWatch::next_call`] returns the next one, and [`ListWatch::handle_outcome`] takes its
/// outcome.
#[derive(Debug)]
pub struct ListWatch {
    settings: Settings,
    rng: SmallRng,
    next_call: Call,
    next_call_at: Duration,
    position: Option<Position>,
    /// Position of the oldest page of the list in progress.
    list_position: Option<Position>,
    /// Highest known epoch of the store.
    epoch: Epoch,
    failures: u32,
    peer_tables: PeerTables,
    role: Role,
    /// Whether a list of the current state has to follow the one in progress.
    needs_current_list: bool,
    /// Whether any call has ended.
    has_called: bool,
}

impl ListWatch {
    /// Creates a state machine whose first call is a list, at once unless the settings prefer the tables of peers.
    ///
    /// A replica of the store may serve an immediate list, as the watch delivers the changes since then.
    pub fn new(settings: Settings, seed: u64) -> ListWatch {
        let delay = if settings.prefers_peers {
            settings.peer_tables_timeout
        } else {
            Duration::ZERO
        };
        ListWatch {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            next_call: Call::List {
                after: None,
                is_current: settings.prefers_peers,
            },
            next_call_at: delay,
            position: None,
            list_position: None,
            epoch: 0,
            failures: 0,
            peer_tables: PeerTables::default(),
            role: Role::default(),
            needs_current_list: false,
            has_called: false,
        }
    }

    /// Sets the role of this balancer.
    ///
    /// A follower makes no watches; a list that is due, or in progress, is made in any role.
    pub fn set_role(&mut self, now: Duration, role: Role) {
        if self.is_paused() && role != Role::Follower {
            self.next_call_at = now;
            if self.has_other_history() {
                self.schedule_relist(now);
            }
        }
        self.role = role;
        if self.is_paused() {
            self.failures = 0;
        }
    }

    /// Returns whether no call is due until the role changes.
    pub fn is_paused(&self) -> bool {
        self.role == Role::Follower && matches!(self.next_call, Call::Watch { .. })
    }

    /// Moves the next watch of a balancer whose peers have provided all changes up to a position.
    pub fn advance(&mut self, known: Position) {
        if let Call::Watch { revision, .. } = &mut self.next_call
            && self.position < Some(known)
        {
            *revision = known.revision;
            self.position = Some(known);
        }
    }

    /// Records the highest known epoch of the store.
    ///
    /// A watch that began in an earlier epoch would miss changes, so the objects are listed again; a follower gets them
    /// from its peers.
    pub fn observe_epoch(&mut self, now: Duration, epoch: Epoch) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        let is_list_outdated = self.list_position.is_some_and(|first| first.epoch < epoch);
        if is_list_outdated || (self.has_other_history() && !self.is_paused()) {
            self.schedule_relist(now);
        }
    }

    /// Schedules a list of the current state; after the list in progress, if that may come from a replica.
    pub fn request_current_list(&mut self, now: Duration) {
        match self.next_call {
            Call::Watch { .. } => drop(self.schedule_relist(now)),
            Call::List { is_current, .. } => self.needs_current_list = !is_current,
        }
    }

    /// Returns whether the known objects belong to an earlier epoch of the store.
    fn has_other_history(&self) -> bool {
        self.position
            .is_some_and(|position| position.epoch < self.epoch)
    }

    /// Updates whether a peer sends its tables; returns whether the collected pages have to be discarded.
    ///
    /// Tables replace the first list only if they arrive before its end: later ones may lack removals, as the peer
    /// drops removed entries after some time.
    pub fn set_peer_tables(&mut self, now: Duration, peer_tables: PeerTables) -> bool {
        self.peer_tables = peer_tables;
        match peer_tables {
            PeerTables::Received(position) if self.position.is_none() => {
                self.list_position = None;
                let delay = if self.settings.prefers_peers {
                    self.settings.first_watch_delay
                } else {
                    Duration::ZERO
                };
                self.schedule_watch(now + delay, position);
                if self.needs_current_list {
                    self.schedule_relist(now);
                }
                true
            }
            PeerTables::Unavailable if self.may_list_at_once() => {
                self.next_call_at = self.next_call_at.min(now);
                false
            }
            PeerTables::Pending | PeerTables::Unavailable | PeerTables::Received(_) => false,
        }
    }

    /// Returns whether the first list may be waiting for the tables of a peer, and not for the end of a backoff.
    fn may_list_at_once(&self) -> bool {
        let is_first_call = self.settings.prefers_peers && !self.has_called;
        self.position.is_none() && (self.list_position.is_some() || is_first_call)
    }

    /// Returns the next call and the time at which it is due.
    ///
    /// A watch after a failure is short as well, since only its response shows that the store is reachable again.
    pub fn next_call(&self) -> (Duration, Call) {
        let mut next = self.next_call.clone();
        if let Call::Watch { timeout, .. } = &mut next
            && (self.role == Role::Reader || self.failures > 0)
        {
            *timeout = self.settings.reader_watch_timeout;
        }
        let due = if self.is_paused() {
            Duration::MAX
        } else {
            self.next_call_at
        };
        (due, next)
    }

    /// Returns the position up to which changes are known; `None` before the end of the first list.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the number of failed calls since the last successful one.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Handles the outcome of a call and schedules the next one.
    pub fn handle_outcome(&mut self, now: Duration, outcome: CallOutcome) -> ContentAction {
        self.has_called = true;
        match outcome {
            CallOutcome::Page { position, next } => self.handle_page(now, position, next),
            CallOutcome::Changes { position } => self.handle_changes(now, position),
            CallOutcome::Gone => self.schedule_relist(now),
            CallOutcome::Failed => {
                self.schedule_retry(now);
                ContentAction::Ignore
            }
        }
    }

    fn handle_page(
        &mut self,
        now: Duration,
        position: Position,
        next: Option<String>,
    ) -> ContentAction {
        self.failures = 0;
        self.epoch = self.epoch.max(position.epoch);
        let is_first_page = self.list_position.is_none();
        let oldest_before = self.list_position.unwrap_or(position);
        if oldest_before.epoch != position.epoch {
            return self.schedule_relist(now);
        }
        // Each page may come from another replica. A watch from the oldest page also delivers the changes between two
        // pages, whichever of them was read first.
        let oldest = oldest_before.min(position);
        self.list_position = Some(oldest);
        self.next_call_at = now;
        if next.is_some() {
            let is_pending = self.peer_tables == PeerTables::Pending;
            let may_wait = self.position.is_none() && !self.settings.prefers_peers;
            if is_first_page && is_pending && may_wait {
                self.next_call_at = now + self.settings.peer_tables_timeout;
            }
            let is_current = matches!(
                self.next_call,
                Call::List {
                    is_current: true,
                    ..
                }
            );
            self.next_call = Call::List {
                after: next,
                is_current,
            };
            return ContentAction::Collect;
        }
        self.list_position = None;
        if self.is_outdated(oldest) {
            // A lagging replica has returned an older state than the known one.
            return self.schedule_relist(now + self.settings.initial_backoff);
        }
        self.schedule_watch(now, oldest);
        if self.needs_current_list {
            self.schedule_relist(now);
        }
        ContentAction::Replace
    }

    fn handle_changes(&mut self, now: Duration, position: Position) -> ContentAction {
        self.failures = 0;
        self.epoch = self.epoch.max(position.epoch);
        if self.is_outdated(position) {
            return self.schedule_relist(now + self.settings.initial_backoff);
        }
        if self.has_other_history() {
            // The watched revision belongs to another history, in which it says nothing about earlier changes.
            return self.schedule_relist(now);
        }
        self.schedule_watch(now + self.settings.min_watch_interval, position);
        ContentAction::Apply
    }

    fn is_outdated(&self, position: Position) -> bool {
        position.epoch < self.epoch || Some(position) < self.position
    }

    fn schedule_watch(&mut self, due: Duration, position: Position) {
        self.position = Some(position);
        self.epoch = self.epoch.max(position.epoch);
        self.next_call_at = due;
        self.next_call = Call::Watch {
            revision: position.revision,
            timeout: self.settings.watch_timeout,
        };
    }

    fn schedule_retry(&mut self, now: Duration) {
        let backoff = self
            .settings
            .initial_backoff
            .saturating_mul(1 << self.failures.min(16))
            .min(self.settings.max_backoff);
        self.failures += 1;
        self.next_call_at = now + backoff.mul_f64(self.rng.random_range(0.75..1.25));
        if self.list_position.take().is_some() {
            self.next_call = Call::List {
                after: None,
                is_current: true,
            };
        }
    }

    fn schedule_relist(&mut self, due: Duration) -> ContentAction {
        self.list_position = None;
        self.needs_current_list = false;
        self.next_call_at = due;
        self.next_call = Call::List {
            after: None,
            is_current: true,
        };
        ContentAction::Ignore
    }
}
