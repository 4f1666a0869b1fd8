//! When to list a kind of object of the store, when to wait for changes, and when to try again.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Number of a state of the store; a higher one is newer.
pub type Revision = u64;

/// Settings of a [`ListWatch`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time for which a watch waits for a change.
    pub watch_timeout: Duration,
    /// The same for a reader. A connection through a middlebox can go silent although its keep-alive probes are answered;
    /// only the end of the wait shows it, and the others of the zone rely on the reader. With the time that a call may
    /// take it is less than the 4 s in which the platform expects a balancer to catch up.
    pub reader_watch_timeout: Duration,
    /// Time between the answer to a watch and the next one, so that one answer carries many changes.
    pub min_watch_interval: Duration,
    /// Time before the first retry of a failed call; it doubles with each further failure.
    pub initial_backoff: Duration,
    /// Longest time before a retry; a third of the time in which a change has to be in force.
    pub max_backoff: Duration,
    /// Longest time for which a first list of several pages waits after its first one for the tables of a peer. Two
    /// balancers of each zone list at once, and their tables take a few hops of some 200 ms to reach the others.
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

/// A call of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// List the objects, or the rest of them after a name.
    List {
        /// Name of the last object of the page before.
        after: Option<String>,
        /// Whether a copy of the store that may be seconds old will not do.
        is_current: bool,
    },
    /// Wait for a change after a revision.
    Watch {
        /// The revision.
        revision: Revision,
        /// Longest wait.
        timeout: Duration,
    },
}

/// Outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// A page of a list.
    Page {
        /// Revision that the list shows.
        revision: Revision,
        /// Name of its last object if there are more.
        next: Option<String>,
    },
    /// Changes up to a revision, or none before the wait ended.
    Changes {
        /// The revision.
        revision: Revision,
    },
    /// The store has forgotten the changes after the revision.
    Gone,
    /// No usable answer.
    Failed,
}

impl Answer {
    /// Returns the revision of the store that the answer shows; 0 if there is none.
    pub fn revision(&self) -> Revision {
        match self {
            Answer::Page { revision, .. } | Answer::Changes { revision } => *revision,
            Answer::Gone | Answer::Failed => 0,
        }
    }
}

/// What peers can do for a balancer that starts.
///
/// Where thousands of upstreams are registered, a full list has many pages, and a fleet that starts at once would ask the
/// store for all of them at the same moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PeerTables {
    /// A peer may hand out its tables.
    #[default]
    Pending,
    /// This balancer lists for its peers.
    Unavailable,
    /// A peer has handed out everything up to a revision.
    Received(Revision),
}

/// ContentAction that is made of the content of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContentAction {
    /// A page of a list that goes on.
    Collect,
    /// The last page: with those before it, it replaces what was known.
    Replace,
    /// Changes of what is known.
    Apply,
    /// Nothing.
    Ignore,
}

/// Reads one kind of object.
#[derive(Debug)]
pub struct ListWatch {
    settings: Settings,
    rng: SmallRng,
    next_call: Call,
    due: Duration,
    revision: Option<Revision>,
    first_page_revision: Option<Revision>,
    failures: u32,
    peer_tables: PeerTables,
    is_reader: bool,
}

impl ListWatch {
    /// Creates a feed that lists at once; a copy will do, as the changes since then follow.
    pub fn new(settings: Settings, seed: u64) -> ListWatch {
        ListWatch {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            next_call: Call::List {
                after: None,
                is_current: false,
            },
            due: Duration::ZERO,
            revision: None,
            first_page_revision: None,
            failures: 0,
            peer_tables: PeerTables::default(),
            is_reader: false,
        }
    }

    /// Sets whether other balancers rely on this feed.
    pub fn set_reader(&mut self, is_reader: bool) {
        self.is_reader = is_reader;
    }

    /// Takes note of what peers do for this balancer; returns whether the pages that were collected are of no more use.
    ///
    /// Only tables that are given before the first list has ended count: those of a later time lack removals of entries
    /// that the peer has forgotten.
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
                self.due = self.due.min(now);
                false
            }
            PeerTables::Pending | PeerTables::Unavailable | PeerTables::Received(_) => false,
        }
    }

    /// Returns the next call and the time at which it is due.
    pub fn next_call(&self) -> (Duration, Call) {
        let mut next = self.next_call.clone();
        if let Call::Watch { timeout, .. } = &mut next
            && self.is_reader
        {
            *timeout = self.settings.reader_watch_timeout;
        }
        (self.due, next)
    }

    /// Returns the revision up to which changes are known.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the number of calls that failed since the last one that did not.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Handles the outcome of a call.
    pub fn handle_answer(&mut self, now: Duration, answer: Answer) -> ContentAction {
        match answer {
            Answer::Page { revision, next } => self.handle_page(now, revision, next),
            Answer::Changes { revision } => self.handle_changes(now, revision),
            Answer::Gone => self.schedule_relist(now),
            Answer::Failed => {
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
        // Changes between two pages are seen by a watch from the revision of the first one.
        let is_first_page = self.first_page_revision.is_none();
        let first = *self.first_page_revision.get_or_insert(revision);
        self.due = now;
        if next.is_some() {
            if is_first_page && self.revision.is_none() && self.peer_tables == PeerTables::Pending {
                self.due = now + self.settings.peer_tables_timeout;
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
            // An answer that is older than what is known.
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
        self.due = due;
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
        self.due = now + backoff.mul_f64(self.rng.random_range(0.75..1.25));
        if self.first_page_revision.take().is_some() {
            self.next_call = Call::List {
                after: None,
                is_current: true,
            };
        }
    }

    fn schedule_relist(&mut self, due: Duration) -> ContentAction {
        self.first_page_revision = None;
        self.due = due;
        self.next_call = Call::List {
            after: None,
            is_current: true,
        };
        ContentAction::Ignore
    }
}
