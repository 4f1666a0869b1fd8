//! Registration of a steering balancer at the store, where balancers find each other.

use {
    crate::{event, metrics::Counter, steer_sources::TableSources, steer_state::State},
    skylarkflow_adapter::{
        client::{Response, Store},
        object::{self, Object, Registration},
    },
    skylarkflow_steering::{
        gossip::{Name, PeerInfo, Role},
        position::{Epoch, Revision},
    },
    skylarkflow_store::Result,
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::{
        sync::{mpsc::UnboundedSender, watch},
        time,
    },
};

/// Time from the registration to the next list of balancers, which finds those that have started at the same time.
const FIRST_LIST_DELAY: Duration = Duration::from_secs(3);

/// Interval between later lists of balancers.
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Age at which a balancer refreshes its entry.
const REFRESH_INTERVAL: Duration = Duration::from_secs(600);

/// Age at which a reader removes the entry of another balancer, which has missed three refreshes by then.
const ENTRY_MAX_AGE: Duration = Duration::from_secs(1_800);

/// Delay before a failed registration, or a list from a replica that lacks the own entry, is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of lists in a row because a replica lacks the own entry; its age is a few seconds at most.
const MAX_LIST_RETRIES: u32 = 10;

/// Age at which every other balancer has listed an entry: the interval between their lists, and the age of a replica.
const KNOWN_ENTRY_AGE: Duration = Duration::from_secs(40);

/// The registered balancers, as a list of the store has them.
pub struct RegisteredPeers {
    /// All but this one.
    pub others: Vec<PeerInfo>,
    /// Whether the list has this one, so that it also has all that were registered before.
    pub has_own: bool,
    /// Whether the others know this one from an earlier process.
    pub is_known: bool,
}

/// Keeps the entry of this balancer at the store fresh and lists the other balancers.
pub struct Registrar {
    /// Tables, which know the epoch of the store.
    pub sources: Arc<TableSources>,
    /// The store.
    pub store: Store,
    /// This balancer.
    pub local: PeerInfo,
    /// Receives the other registered balancers after each list.
    pub registered_peers: UnboundedSender<RegisteredPeers>,
    /// Whether the balancers are listed until the list has this one: it shares budgets with all that were registered
    /// before.
    pub needs_own_entry: bool,
    /// Role of this balancer; a reader removes entries that are no longer refreshed.
    pub role: watch::Receiver<Role>,
}

/// Registered balancers.
#[derive(Default)]
struct Listing {
    own: Option<Registration>,
    others: Vec<PeerInfo>,
    /// Entries that are no longer refreshed.
    expired: Vec<(Name, Revision)>,
}

/// Outcome of a refresh.
struct Outcome {
    /// Whether the entry of this balancer is fresh.
    is_fresh: bool,
    /// Whether the list had the entry.
    has_own: bool,
}

impl Registrar {
    /// Runs until the task is aborted.
    ///
    /// A restore of the store may have lost the entry, so the balancers are listed again at once after one.
    pub async fn run(self) {
        let mut refreshed_at: Option<Duration> = None;
        let mut list_delay = FIRST_LIST_DELAY;
        let mut remaining_retries = if self.needs_own_entry {
            MAX_LIST_RETRIES
        } else {
            0
        };
        let mut epoch = self.sources.subscribe_epoch();
        let mut listed_epoch: Option<Epoch> = None;
        loop {
            let now = self.state().clock.now();
            let known_epoch = *epoch.borrow();
            let is_restored = listed_epoch.is_some_and(|listed| listed < known_epoch);
            let is_due = is_restored || refreshed_at.is_none_or(|at| now >= at + REFRESH_INTERVAL);
            match self.refresh(is_due, is_restored).await {
                Ok(outcome) => {
                    refreshed_at = if outcome.is_fresh {
                        Some(now)
                    } else {
                        refreshed_at
                    };
                    let is_replica_behind = list_delay == LIST_INTERVAL && !outcome.has_own;
                    let delay = if is_replica_behind && remaining_retries > 0 {
                        remaining_retries -= 1;
                        RETRY_DELAY
                    } else {
                        list_delay
                    };
                    let listed = self.listed_epoch(known_epoch);
                    listed_epoch = Some(listed);
                    tokio::select! {
                        () = time::sleep(delay) => list_delay = LIST_INTERVAL,
                        Ok(_) = epoch.wait_for(|&known| known > listed) => {}
                    }
                }
                Err(error) => {
                    self.record_failure(&error);
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn state(&self) -> &State {
        self.sources.state()
    }

    /// Returns the epoch of a list that began when `known_epoch` was known.
    ///
    /// A restore during the list may have lost the entry that the list has shown, so the earlier epoch counts. Before
    /// the first response no epoch is known, and the list itself shows it.
    fn listed_epoch(&self, known_epoch: Epoch) -> Epoch {
        match known_epoch {
            0 => *self.sources.subscribe_epoch().borrow(),
            known_epoch => known_epoch,
        }
    }

    /// Lists the balancers and, if `is_due` is set, writes the entry of this one where it is missing, wrong or old.
    async fn refresh(&self, is_due: bool, requires_latest: bool) -> Result<Outcome> {
        let now_unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let listing = self.list(now_unix, requires_latest).await?;
        let own = listing.own.as_ref();
        let is_known = own.is_some_and(|own| age(own, now_unix) >= KNOWN_ENTRY_AGE);
        let registered_peers = RegisteredPeers {
            others: listing.others,
            has_own: own.is_some(),
            is_known,
        };
        // Sending only fails when the receiver was dropped because the process is exiting.
        let _ = self.registered_peers.send(registered_peers);
        if *self.role.borrow() == Role::Reader {
            self.remove_expired(listing.expired).await?;
        }
        let is_fresh = own.is_some_and(|own| self.is_fresh(own, now_unix));
        if is_due && !is_fresh {
            self.write(now_unix, own.is_some()).await?;
        }
        Ok(Outcome {
            is_fresh: is_due || is_fresh,
            has_own: own.is_some(),
        })
    }

    async fn list(&self, now_unix: Duration, requires_latest: bool) -> Result<Listing> {
        let mut listing = Listing::default();
        let mut after: Option<String> = None;
        loop {
            self.state().metrics.count(Counter::StoreCalls);
            let Response { epoch, body: page } = self
                .store
                .list(object::BALANCERS, after.as_deref(), requires_latest)
                .await?;
            self.sources.observe_epoch(epoch.unwrap_or_default());
            for item in &page.items {
                self.sort_entry(now_unix, item, &mut listing);
            }
            after = page.next;
            if after.is_none() {
                return Ok(listing);
            }
        }
    }

    /// Adds the entry of a balancer to the listing; one of another writer that cannot be decoded is skipped.
    fn sort_entry(&self, now_unix: Duration, item: &Object, listing: &mut Listing) {
        let Ok(entry) = object::decode_registration(item) else {
            return;
        };
        let name = item.name.clone();
        if name == self.local.name {
            listing.own = Some(entry);
        } else if age(&entry, now_unix) < ENTRY_MAX_AGE {
            listing.others.push(PeerInfo {
                name,
                zone: entry.zone,
                address: entry.address,
            });
        } else {
            listing.expired.push((name, item.revision));
        }
    }

    fn is_fresh(&self, own: &Registration, now_unix: Duration) -> bool {
        let is_unchanged = own.address == self.local.address && own.zone == self.local.zone;
        is_unchanged && age(own, now_unix) < REFRESH_INTERVAL
    }

    async fn remove_expired(&self, expired: Vec<(Name, Revision)>) -> Result<()> {
        for (name, revision) in expired {
            self.state().metrics.count(Counter::StoreCalls);
            self.store
                .remove(object::BALANCERS, &name, revision)
                .await?;
        }
        Ok(())
    }

    async fn write(&self, now_unix: Duration, exists: bool) -> Result<()> {
        let entry = Registration {
            zone: self.local.zone.clone(),
            address: self.local.address,
            refreshed: now_unix.as_secs(),
        };
        self.state().metrics.count(Counter::StoreCalls);
        let entry = serde_json::json!(entry);
        self.store
            .write(object::BALANCERS, &self.local.name, &entry, exists)
            .await
    }

    fn record_failure(&self, error: &skylarkflow_store::Error) {
        let state = self.state();
        state.metrics.count(Counter::StoreFailures);
        let text = format_args!("registration: {error}");
        state
            .event_log
            .record_limited(state.clock.now(), &event::STORE_LOST, text);
    }
}

fn age(entry: &Registration, now_unix: Duration) -> Duration {
    now_unix.saturating_sub(Duration::from_secs(entry.refreshed))
}
