//! When to list a kind of object of the store, when to wait for changes, and when to try again.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Number of a state of the store; a higher one is newer.
pub type Revision = u64;

/// Settings of a [`Feed`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time for which a watch waits for a change.
    pub wait: Duration,
    /// The same for a reader. A connection through a middlebox can go silent although its keep-alive probes are answered;
    /// only the end of the wait shows it, and the others of the zone rely on the reader. With the time that a call may
    /// take it is less than the 4 s in which the platform expects a balancer to catch up.
    pub reader_wait: Duration,
    /// Time between the answer to a watch and the next one, so that one answer carries many changes.
    pub pace: Duration,
    /// Time before the first retry of a failed call; it doubles with each further failure.
    pub least_pause: Duration,
    /// Longest time before a retry; a third of the time in which a change has to be in force.
    pub most_pause: Duration,
    /// Longest time for which a first list of several pages waits after its first one for the tables of a peer. Two
    /// balancers of each zone list at once, and their tables take a few hops of some 200 ms to reach the others.
    pub hold: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            wait: Duration::from_secs(30),
            reader_wait: Duration::from_millis(1_500),
            pace: Duration::from_millis(400),
            least_pause: Duration::from_millis(100),
            most_pause: Duration::from_secs(1),
            hold: Duration::from_millis(1_500),
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
        wait: Duration,
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
pub enum Help {
    /// A peer may hand out its tables.
    #[default]
    Expected,
    /// This balancer lists for its peers.
    None,
    /// A peer has handed out everything up to a revision.
    Given(Revision),
}

/// Use that is made of the content of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Use {
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
pub struct Feed {
    settings: Settings,
    rng: SmallRng,
    next: Call,
    due: Duration,
    revision: Option<Revision>,
    listed: Option<Revision>,
    failures: u32,
    help: Help,
    is_reader: bool,
}

impl Feed {
    /// Creates a feed that lists at once; a copy will do, as the changes since then follow.
    pub fn new(settings: Settings, seed: u64) -> Feed {
        Feed {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            next: Call::List {
                after: None,
                is_current: false,
            },
            due: Duration::ZERO,
            revision: None,
            listed: None,
            failures: 0,
            help: Help::default(),
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
    pub fn help(&mut self, now: Duration, help: Help) -> bool {
        self.help = help;
        match help {
            Help::Given(revision) if self.revision.is_none() => {
                self.listed = None;
                self.watch(now, revision);
                true
            }
            Help::None if self.revision.is_none() && self.listed.is_some() => {
                self.due = self.due.min(now);
                false
            }
            Help::Expected | Help::None | Help::Given(_) => false,
        }
    }

    /// Returns the next call and the time at which it is due.
    pub fn next(&self) -> (Duration, Call) {
        let mut next = self.next.clone();
        if let Call::Watch { wait, .. } = &mut next
            && self.is_reader
        {
            *wait = self.settings.reader_wait;
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
    pub fn answer(&mut self, now: Duration, answer: Answer) -> Use {
        match answer {
            Answer::Page { revision, next } => self.page(now, revision, next),
            Answer::Changes { revision } => self.changes(now, revision),
            Answer::Gone => self.relist(now),
            Answer::Failed => {
                self.fail(now);
                Use::Ignore
            }
        }
    }

    fn page(&mut self, now: Duration, revision: Revision, next: Option<String>) -> Use {
        self.failures = 0;
        // Changes between two pages are seen by a watch from the revision of the first one.
        let is_first_page = self.listed.is_none();
        let first = *self.listed.get_or_insert(revision);
        self.due = now;
        if next.is_some() {
            if is_first_page && self.revision.is_none() && self.help == Help::Expected {
                self.due = now + self.settings.hold;
            }
            let is_current = matches!(
                self.next,
                Call::List {
                    is_current: true,
                    ..
                }
            );
            self.next = Call::List {
                after: next,
                is_current,
            };
            return Use::Collect;
        }
        self.listed = None;
        if self.revision.is_some_and(|known| first < known) {
            // An answer that is older than what is known.
            return self.relist(now + self.settings.least_pause);
        }
        self.watch(now, first);
        Use::Replace
    }

    fn changes(&mut self, now: Duration, revision: Revision) -> Use {
        self.failures = 0;
        if self.revision.is_some_and(|known| revision < known) {
            return self.relist(now + self.settings.least_pause);
        }
        self.watch(now + self.settings.pace, revision);
        Use::Apply
    }

    fn watch(&mut self, due: Duration, revision: Revision) {
        self.revision = Some(revision);
        self.due = due;
        self.next = Call::Watch {
            revision,
            wait: self.settings.wait,
        };
    }

    fn fail(&mut self, now: Duration) {
        let pause = self
            .settings
            .least_pause
            .saturating_mul(1 << self.failures.min(16))
            .min(self.settings.most_pause);
        self.failures += 1;
        self.due = now + pause.mul_f64(self.rng.random_range(0.75..1.25));
        if self.listed.take().is_some() {
            self.next = Call::List {
                after: None,
                is_current: true,
            };
        }
    }

    fn relist(&mut self, due: Duration) -> Use {
        self.listed = None;
        self.due = due;
        self.next = Call::List {
            after: None,
            is_current: true,
        };
        Use::Ignore
    }
}
