//! Schedule of the calls to the platform.
//!
//! The two members of a zone with the lowest ranks, its readers, watch the store and poll the VM list. Other balancers
//! poll the store only if no peer sends them messages, and the VM list only if they know no peer. The number of calls
//! therefore grows with the number of zones and not with the number of balancers.

use {
    crate::{
        config_object::{KeyId, Object},
        config_relay::Action,
        config_store::Store,
        id::{Map, Set},
        vm,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Balancers of each zone that read from the platform.
const READERS_PER_ZONE: usize = 2;

/// Time after the start during which a balancer looks for peers before it reads the store.
const JOIN_DELAY: Duration = Duration::from_secs(2);

/// Time between two lists of all objects by a reader, which detect that the store was restored to an earlier state.
const OBJECT_LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two VM lists by a reader. All balancers must know within 3 s that a VM is leaving.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a message from any peer after which a balancer that is not a reader polls the store.
const PEER_SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Base of the delay before a failed call is retried, doubled with each failure in a row.
const BASE_BACKOFF: Duration = Duration::from_millis(500);

/// Largest number of doublings of the delay.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Longest delay before a failed call is retried.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Delay before the store is listed again after a write was rejected.
const CONFLICT_DELAY: Duration = Duration::from_secs(1);

/// Time after which a call without an answer no longer counts as pending. A watch waits for up to 30 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Version of the store or of an object in it; 0 for an object that does not exist there.
pub type Revision = u64;

/// A call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// List all routes and pools.
    List,
    /// Wait for changes after a revision.
    Watch {
        /// Revision of the last answer.
        after: Revision,
    },
    /// List the VMs.
    Vms,
    /// Write an object to the store, which holds an older version of it or none.
    Put {
        /// The object.
        object: Object,
        /// The write takes effect only if the store holds this version of the object.
        version: Revision,
    },
}

/// The kind of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallKind {
    /// [`Call::List`].
    List,
    /// [`Call::Watch`].
    Watch,
    /// [`Call::Vms`].
    Vms,
    /// [`Call::Put`].
    Put,
}

/// An object as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// The object.
    pub object: Object,
    /// Its version in the store.
    pub version: Revision,
}

/// An answer from the platform.
#[derive(Clone, Debug)]
pub enum Answer {
    /// All routes and pools.
    Listed {
        /// Revision of the store.
        revision: Revision,
        /// The objects.
        objects: Vec<Stored>,
    },
    /// Routes and pools that changed; empty if the watch timed out.
    Watched {
        /// Revision of the store.
        revision: Revision,
        /// The objects.
        objects: Vec<Stored>,
    },
    /// All VMs.
    Vms(Vec<vm::Record>),
    /// A write took effect.
    Written,
    /// A write was rejected because the store held another version.
    Conflict,
    /// The call failed or was not answered. A write may have taken effect.
    Failed(CallKind),
}

/// Decides when one balancer calls the platform.
#[derive(Debug)]
pub struct Reader {
    rng: SmallRng,
    rank: usize,
    is_reading: bool,
    started: Option<Duration>,
    revision: Option<Revision>,
    /// Start time of each pending call.
    pending: Map<CallKind, Duration>,
    next_list: Duration,
    next_vms: Duration,
    failures: u32,
    calls: u64,
}

impl Reader {
    /// Creates a reader that has not yet called the platform.
    pub fn new(seed: u64) -> Reader {
        Reader {
            rng: SmallRng::seed_from_u64(!seed),
            rank: 0,
            is_reading: false,
            started: None,
            revision: None,
            pending: Map::default(),
            next_list: Duration::ZERO,
            next_vms: Duration::ZERO,
            failures: 0,
            calls: 0,
        }
    }

    /// Sets the rank of this balancer among the live members of its zone.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Returns whether the rank of this balancer makes it a reader of its zone.
    pub fn has_reader_rank(&self) -> bool {
        self.rank < READERS_PER_ZONE
    }

    /// Returns whether this balancer is a reader of its zone and the time to find its peers has passed.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Appends the calls that are due. `last_heard` is the time of the latest message from a peer.
    pub fn tick(
        &mut self,
        now: Duration,
        last_heard: Duration,
        is_alone: bool,
        actions: &mut Vec<Action>,
    ) {
        let started = *self.started.get_or_insert(now);
        self.pending.retain(|_, &mut at| now < at + CALL_TIMEOUT);
        let is_reading = self.has_reader_rank() && now >= started + JOIN_DELAY;
        if is_reading && !self.is_reading {
            self.next_list = now;
            self.next_vms = now;
        }
        self.is_reading = is_reading;
        if now >= self.next_vms && (is_reading || is_alone) {
            self.next_vms = now + VM_LIST_INTERVAL;
            self.start_call(now, CallKind::Vms, Call::Vms, actions);
        }
        let last_heard = last_heard.max(started);
        if is_reading && now >= self.next_list {
            self.start_call(now, CallKind::List, Call::List, actions);
            self.next_list = now + OBJECT_LIST_INTERVAL.mul_f64(self.rng.random_range(1.0..1.3));
        } else if !is_reading && now >= last_heard + PEER_SILENCE_TIMEOUT && now >= self.next_list {
            self.start_call(now, CallKind::List, Call::List, actions);
            self.next_list = now + PEER_SILENCE_TIMEOUT.mul_f64(self.rng.random_range(1.0..2.0));
        } else if now < last_heard + PEER_SILENCE_TIMEOUT && !is_reading {
            self.next_list =
                last_heard + PEER_SILENCE_TIMEOUT.mul_f64(self.rng.random_range(1.0..2.0));
            self.revision = None;
        }
        if let Some(after) = self.revision.filter(|_| is_reading) {
            self.start_call(now, CallKind::Watch, Call::Watch { after }, actions);
        }
    }

    /// Handles an answer and returns the objects of the store that it contains, if any.
    pub fn handle_answer(
        &mut self,
        now: Duration,
        answer: Answer,
        store: &Store,
        actions: &mut Vec<Action>,
    ) -> Option<Vec<Object>> {
        match answer {
            Answer::Listed { revision, objects } => {
                self.pending.remove(&CallKind::List);
                self.failures = 0;
                self.revision = Some(revision);
                self.write_back(now, &objects, store, actions);
                Some(objects.into_iter().map(|it| it.object).collect())
            }
            Answer::Watched { revision, objects } => {
                self.pending.remove(&CallKind::Watch);
                self.failures = 0;
                if self.revision.is_some_and(|known| revision < known) {
                    // The revision decreases only if the store was restored to an earlier state.
                    self.next_list = now;
                }
                self.revision = Some(revision);
                Some(objects.into_iter().map(|it| it.object).collect())
            }
            Answer::Vms(_) => {
                self.pending.remove(&CallKind::Vms);
                None
            }
            Answer::Written => None,
            Answer::Conflict => {
                self.next_list = now + CONFLICT_DELAY;
                None
            }
            Answer::Failed(kind) => {
                self.pending.remove(&kind);
                self.back_off(now, kind);
                None
            }
        }
    }

    /// Reports objects of which the store holds an older version than the active one. If this balancer has rank 0, it
    /// also writes the newer versions back.
    fn write_back(
        &mut self,
        now: Duration,
        stored: &[Stored],
        store: &Store,
        actions: &mut Vec<Action>,
    ) {
        let mut older: Vec<(&Object, Revision)> = Vec::new();
        let mut stored_keys: Set<KeyId> = Set::default();
        for Stored { object, version } in stored {
            stored_keys.insert(object.id());
            let own = store.get(object.id());
            older.extend(
                own.filter(|own| own.generation > object.generation)
                    .map(|own| (own, *version)),
            );
        }
        let missing = store.iter().filter(|own| {
            own.is_configuration()
                && !stored_keys.contains(&own.id())
                && own.value != crate::config_object::Value::Deleted
        });
        older.extend(missing.map(|own| (own, 0)));
        for (object, version) in older {
            let key = object.key.clone();
            actions.push(Action::StoreOutdated { key });
            if self.rank == 0 {
                self.pending.remove(&CallKind::Put);
                let object = object.clone();
                self.start_call(now, CallKind::Put, Call::Put { object, version }, actions);
            }
        }
    }

    fn back_off(&mut self, now: Duration, kind: CallKind) {
        self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
        let wait = BASE_BACKOFF * 2_u32.pow(self.failures);
        let wait = wait
            .min(MAX_BACKOFF)
            .mul_f64(self.rng.random_range(0.5..1.0));
        match kind {
            // A write without an answer may have taken effect, so the store is listed again.
            CallKind::List | CallKind::Put => self.next_list = now + wait,
            // The store may have been restored meanwhile, so the watched revision may stand for other changes.
            CallKind::Watch => {
                self.revision = None;
                self.next_list = now + wait;
            }
            CallKind::Vms => self.next_vms = now + wait,
        }
    }

    fn start_call(&mut self, now: Duration, kind: CallKind, call: Call, actions: &mut Vec<Action>) {
        if self.pending.contains_key(&kind) {
            return;
        }
        self.pending.insert(kind, now);
        self.calls += 1;
        actions.push(Action::Call(call));
    }
}
