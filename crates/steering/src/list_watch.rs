//! State machine that follows one kind of object in the store: it lists the objects, watches for changes and retries
//! failed calls.

use {
    crate::gossip::Role,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Revision of the store; a higher one is newer.
pub type Revision = u64;

/// Number of a history of the store. It rises when the store is restored from an older copy, which gives revisions out
/// again.
pub type Epoch = u64;

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
        /// Revision of the store at which the page was read.
        revision: Revision,
        /// Name of the last object on the page if another page follows.
        next: Option<String>,
    },
    /// Changes up to a revision; none if the watch timed out.
    Changes {
        /// The revision.
        revision: Revision,
    },
    /// The store has compacted the changes after the requested revision.
    Gone,
    /// The call failed or its response was unusable.
    Failed,
}

impl CallOutcome {
    /// Returns the revision of the store in the response; 0 if there is none.
    pub fn revision(&self) -> Revision {
        match self {
            CallOutcome::Page { revision, .. } | CallOutcome::Changes { revision } => *revision,
            CallOutcome::Gone | CallOutcome::Failed => 0,
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
    /// A peer has sent its tables, which contain all changes up to a revision.
    Received(Revision),
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
    revision: Option<Revision>,
    first_page_revision: Option<Revision>,
    failures: u32,
    peer_tables: PeerTables,
    role: Role,
}

impl ListWatch {
    /// Creates a state machine whose first call is an immediate list.
    ///
    /// A replica of the store may serve the list, as the watch delivers the changes since then.
    pub fn new(settings: Settings, seed: u64) -> ListWatch {
        ListWatch {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            next_call: Call::List {
                after: None,
                is_current: false,
            },
            next_call_at: Duration::ZERO,
            revision: None,
            first_page_revision: None,
            failures: 0,
            peer_tables: PeerTables::default(),
            role: Role::default(),
        }
    }

    /// Sets the role of this balancer.
    ///
    /// A follower makes no watches; a list that is due, or in progress, is made in any role.
    pub fn set_role(&mut self, now: Duration, role: Role) {
        if self.is_paused() && role != Role::Follower {
            self.next_call_at = now;
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

    /// Moves the next watch of a balancer whose peers have provided all changes up to a revision.
    pub fn advance(&mut self, known: Revision) {
        if let Call::Watch { revision, .. } = &mut self.next_call
            && *revision < known
        {
            *revision = known;
            self.revision = Some(known);
        }
    }

    /// Updates whether a peer sends its tables; returns whether the collected pages have to be discarded.
    ///
    /// Tables replace the first list only if they arrive before its end: later ones may lack removals, as the peer
    /// drops removed entries after some time.
    pub fn set_peer_tables(&mut self, now: Duration, peer_tables: PeerTables) -> bool {
        self.peer_tables = peer_tables;
        match peer_tables {
            PeerTables::Received(revision) if self.revision.is_none() => {
                self.first_page_revision = None;
                self.schedule_watch(now, revision);
                true
            }
            PeerTables::Unavailable
                if self.revision.is_none() && self.first_page_revision.is_some() =>
            {
                self.next_call_at = self.next_call_at.min(now);
                false
            }
            PeerTables::Pending | PeerTables::Unavailable | PeerTables::Received(_) => false,
        }
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

    /// Returns the revision up to which changes are known; `None` before the end of the first list.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the number of failed calls since the last successful one.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Handles the outcome of a call and schedules the next one.
    pub fn handle_outcome(&mut self, now: Duration, outcome: CallOutcome) -> ContentAction {
        match outcome {
            CallOutcome::Page { revision, next } => self.handle_page(now, revision, next),
            CallOutcome::Changes { revision } => self.handle_changes(now, revision),
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
        revision: Revision,
        next: Option<String>,
    ) -> ContentAction {
        self.failures = 0;
        // A watch from the revision of the first page also delivers the changes between two pages.
        let is_first_page = self.first_page_revision.is_none();
        let first = *self.first_page_revision.get_or_insert(revision);
        self.next_call_at = now;
        if next.is_some() {
            if is_first_page && self.revision.is_none() && self.peer_tables == PeerTables::Pending {
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
        self.first_page_revision = None;
        if self.revision.is_some_and(|known| first < known) {
            // A lagging replica has returned an older state than the known one.
            return self.schedule_relist(now + self.settings.initial_backoff);
        }
        self.schedule_watch(now, first);
        ContentAction::Replace
    }

    fn handle_changes(&mut self, now: Duration, revision: Revision) -> ContentAction {
        self.failures = 0;
        if self.revision.is_some_and(|known| revision < known) {
            return self.schedule_relist(now + self.settings.initial_backoff);
        }
        self.schedule_watch(now + self.settings.min_watch_interval, revision);
        ContentAction::Apply
    }

    fn schedule_watch(&mut self, due: Duration, revision: Revision) {
        self.revision = Some(revision);
        self.next_call_at = due;
        self.next_call = Call::Watch {
            revision,
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
        if self.first_page_revision.take().is_some() {
            self.next_call = Call::List {
                after: None,
                is_current: true,
            };
        }
    }

    fn schedule_relist(&mut self, due: Duration) -> ContentAction {
        self.first_page_revision = None;
        self.next_call_at = due;
        self.next_call = Call::List {
            after: None,
            is_current: true,
        };
        ContentAction::Ignore
    }
}
