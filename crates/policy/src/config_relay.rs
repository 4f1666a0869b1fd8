//! Gossip of configuration, drain marks and the VM list between balancers.
//!
//! A balancer announces the versions that it adopted to 3 peers per round, and peers request the objects that they
//! lack. Each balancer therefore receives an object about once, whatever the number of balancers. See
//! [configuration](../../../docs/design.md#9-configuration).

use {
    crate::{
        config_object::{KeyId, Object, Value, Version},
        config_reader::{Answer, Call, Reader},
        config_store::{BUCKETS, Store, bucket},
        id::{Map, VmId},
        member::MESSAGE_BYTES,
        token_bucket::TokenBucket,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// Number of latest adopted versions that a balancer announces again to a peer whose summary differs.
const RECENT_ADOPTIONS: usize = 8;

/// Bytes of a message reserved for its header.
const HEADER_BYTES: usize = 16;

/// Bytes of a [`Message::Buckets`] reserved for its header and the numbers of all buckets.
const BUCKETS_OVERHEAD_BYTES: usize = 150;

/// A message between the relays of two balancers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Digest of all objects; answered with the digests by bucket if it differs.
    #[serde(rename = "s")]
    Summary(u32),
    /// Digests by bucket; answered with the versions in the buckets that differ.
    #[serde(rename = "d")]
    Digest(Vec<u32>),
    /// All versions in the buckets with these numbers.
    #[serde(rename = "b")]
    Buckets(Vec<u8>, Vec<Version>),
    /// Versions that the sender has recently adopted.
    #[serde(rename = "v")]
    Versions(Vec<Version>),
    /// Requests objects by key.
    #[serde(rename = "w")]
    Want(Vec<KeyId>),
    /// Objects, as requested or because the receiver lacks them.
    #[serde(rename = "o")]
    Objects(Vec<Object>),
}

/// Another balancer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Peer {
    /// Identifier of its VM.
    pub id: VmId,
    /// Address of its peer socket.
    pub address: SocketAddr,
}

/// Output of [`Relay`], to be carried out by the code that runs it.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another relay.
    Send {
        /// Address of the peer socket.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Call the platform.
    Call(Call),
    /// The store holds an older version of an object than the active one, which stays active.
    StoreOutdated {
        /// Key of the object.
        key: String,
    },
    /// Routes, pools or drains changed.
    TablesChanged,
    /// The VM list changed.
    VmsChanged,
}

/// Timing and limits of the relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two rounds of announcements.
    pub announce_interval: Duration,
    /// Peers that receive an announcement in one round.
    pub fanout: usize,
    /// Rounds in which a version is announced.
    pub announce_rounds: usize,
    /// Time between two summaries to a random peer, which make up for lost announcements.
    pub summary_interval: Duration,
    /// Time between two digests by bucket to a random peer.
    pub digest_interval: Duration,
    /// Time between two digests while this balancer has not yet received the configuration.
    pub join_interval: Duration,
    /// Time after which an object is requested again.
    pub request_timeout: Duration,
    /// Mean rate at which this balancer may send, in bytes per second.
    pub bytes_per_second: usize,
    /// Bytes that a burst of changes or a joining balancer may use at once.
    pub burst_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            announce_interval: Duration::from_millis(200),
            fanout: 3,
            announce_rounds: 4,
            summary_interval: Duration::from_secs(1),
            digest_interval: Duration::from_secs(10),
            join_interval: Duration::from_millis(500),
            request_timeout: Duration::from_millis(300),
            bytes_per_second: 400,
            burst_bytes: 65_536,
        }
    }
}

/// Exchanges configuration objects with other balancers and stores the active ones.
#[derive(Debug)]
pub struct Relay {
    settings: Settings,
    store: Store,
    reader: Reader,
    rng: SmallRng,
    budget: TokenBucket,
    peers: Vec<Peer>,
    /// Objects to announce and the number of rounds left for each.
    announcements: Vec<(KeyId, usize)>,
    /// Keys of the latest adopted objects, the newest first.
    recent: VecDeque<KeyId>,
    /// Time of the latest request for each object that has not arrived.
    requested_at: Map<KeyId, Duration>,
    is_synchronized: bool,
    last_heard: Duration,
    next_announcement: Duration,
    next_summary: Duration,
    next_digest: Duration,
}

impl Relay {
    /// Creates a relay without objects and peers.
    pub fn new(settings: Settings, seed: u64) -> Relay {
        Relay {
            budget: TokenBucket::new(settings.bytes_per_second, settings.burst_bytes),
            settings,
            store: Store::default(),
            reader: Reader::new(seed),
            rng: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            announcements: Vec::new(),
            recent: VecDeque::new(),
            requested_at: Map::default(),
            is_synchronized: false,
            last_heard: Duration::ZERO,
            next_announcement: Duration::ZERO,
            next_summary: Duration::ZERO,
            next_digest: Duration::ZERO,
        }
    }

    /// Returns the active objects.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the active objects, mutably because deriving a snapshot updates a cache.
    pub fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Returns the reader, which schedules calls to the platform.
    pub fn reader(&self) -> &Reader {
        &self.reader
    }

    /// Returns whether a peer or the platform has supplied the configuration.
    pub fn is_synchronized(&self) -> bool {
        self.is_synchronized
    }

    /// Sets the reachable balancers and the rank of this one among the live members of its zone.
    pub fn set_peers(
        &mut self,
        now: Duration,
        peers: Vec<Peer>,
        rank: usize,
        actions: &mut Vec<Action>,
    ) {
        let before: BTreeSet<VmId> = self.peers.iter().map(|peer| peer.id).collect();
        let new = peers.iter().filter(|peer| !before.contains(&peer.id));
        let new: Vec<Peer> = new.copied().collect();
        self.peers = peers;
        self.reader.set_rank(rank);
        // A peer of a zone that is reachable again may have missed changes.
        let chosen = new.choose_multiple(&mut self.rng, self.settings.fanout);
        for peer in chosen.copied().collect::<Vec<_>>() {
            let message = Message::Summary(self.summary());
            self.send(now, peer.address, message, actions);
        }
    }

    /// Adopts an object if it is newer than the active version, and announces it.
    pub fn adopt(&mut self, now: Duration, object: Object, actions: &mut Vec<Action>) {
        let key = object.id();
        let change = match object.value {
            Value::Vm(..) => Action::VmsChanged,
            _ => Action::TablesChanged,
        };
        if self.store.adopt(now, object) {
            self.announcements
                .retain(|(announced, _)| *announced != key);
            self.announcements
                .push((key, self.settings.announce_rounds));
            self.recent.push_front(key);
            self.recent.truncate(RECENT_ADOPTIONS);
            actions.push(change);
        }
    }

    /// Runs the timers; expected every 100 ms.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.reader
            .tick(now, self.last_heard, self.peers.is_empty(), actions);
        if now >= self.next_announcement {
            self.next_announcement = now + self.settings.announce_interval;
            self.announce_versions(now, actions);
        }
        if now >= self.next_summary {
            self.next_summary = now + self.jittered(self.settings.summary_interval);
            let message = Message::Summary(self.summary());
            self.send_to_any(now, message, actions);
        }
        if now >= self.next_digest && !self.peers.is_empty() {
            let interval = if self.is_synchronized {
                self.settings.digest_interval
            } else {
                self.settings.join_interval
            };
            self.next_digest = now + self.jittered(interval);
            let message = Message::Digest(self.store.digests().to_vec());
            self.send_to_any(now, message, actions);
        }
    }

    /// Handles a message of another balancer.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        self.last_heard = now;
        match message {
            Message::Summary(digest) => {
                if digest != self.summary() {
                    self.send_differences(now, from, actions);
                }
            }
            Message::Digest(digests) => self.send_bucket_versions(now, from, &digests, actions),
            Message::Buckets(buckets, versions) => {
                self.is_synchronized |= buckets.is_empty();
                self.request_missing(now, from, &versions, actions);
                self.send_newer(now, from, &buckets, &versions, actions);
            }
            Message::Versions(versions) => self.request_missing(now, from, &versions, actions),
            Message::Want(keys) => self.send_objects(now, from, keys, actions),
            Message::Objects(objects) => {
                for object in objects {
                    self.requested_at.remove(&object.id());
                    self.adopt(now, object, actions);
                }
            }
        }
    }

    /// Handles an answer from the platform and adopts the objects that it contains.
    pub fn handle_answer(&mut self, now: Duration, answer: Answer, actions: &mut Vec<Action>) {
        let objects = self.reader.handle_answer(now, answer, &self.store, actions);
        self.is_synchronized |= objects.is_some();
        for object in objects.into_iter().flatten() {
            self.adopt(now, object, actions);
        }
    }

    fn announce_versions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let max_versions = (MESSAGE_BYTES - HEADER_BYTES) / Version::BYTES;
        let store = &self.store;
        let versions = self
            .announcements
            .iter()
            .filter_map(|&(key, _)| store.version(key));
        let versions: Vec<Version> = versions.take(max_versions).collect();
        if versions.is_empty() {
            return;
        }
        let peers = self
            .peers
            .choose_multiple(&mut self.rng, self.settings.fanout);
        let mut sent = false;
        for peer in peers.copied().collect::<Vec<_>>() {
            sent |= self.send(
                now,
                peer.address,
                Message::Versions(versions.clone()),
                actions,
            );
        }
        if sent {
            for (_, rounds) in self.announcements.iter_mut().take(max_versions) {
                *rounds -= 1;
            }
            self.announcements.retain(|(_, rounds)| *rounds > 0);
        }
    }

    /// Sends the recently adopted versions and the digest by bucket.
    ///
    /// If the peer only missed an announcement, the versions save two messages.
    fn send_differences(&mut self, now: Duration, to: SocketAddr, actions: &mut Vec<Action>) {
        let recent = self
            .recent
            .iter()
            .filter_map(|&key| self.store.version(key));
        let recent = Message::Versions(recent.collect());
        self.send(now, to, recent, actions);
        let digest = Message::Digest(self.store.digests().to_vec());
        self.send(now, to, digest, actions);
    }

    /// Sends the versions in the buckets whose digests differ.
    fn send_bucket_versions(
        &mut self,
        now: Duration,
        to: SocketAddr,
        digests: &[u32],
        actions: &mut Vec<Action>,
    ) {
        if digests.len() != BUCKETS {
            return;
        }
        let own = self.store.digests().to_vec();
        let mut buckets = Vec::new();
        let mut versions = Vec::new();
        for index in (0..BUCKETS).filter(|&index| own[index] != digests[index]) {
            let bucket_versions = self.store.bucket_versions(index);
            let bytes = (versions.len() + bucket_versions.len()) * Version::BYTES;
            if !buckets.is_empty() && bytes > MESSAGE_BYTES - BUCKETS_OVERHEAD_BYTES {
                let message =
                    Message::Buckets(std::mem::take(&mut buckets), std::mem::take(&mut versions));
                self.send(now, to, message, actions);
            }
            buckets.push(index as u8);
            versions.extend(bucket_versions);
        }
        self.send(now, to, Message::Buckets(buckets, versions), actions);
    }

    /// Requests the objects that this balancer lacks and that are not already requested.
    fn request_missing(
        &mut self,
        now: Duration,
        from: SocketAddr,
        versions: &[Version],
        actions: &mut Vec<Action>,
    ) {
        let timeout = self.settings.request_timeout;
        let mut keys = Vec::new();
        for version in versions.iter().filter(|version| self.store.lacks(version)) {
            let requested = self.requested_at.get(&version.key);
            if requested.is_none_or(|&at| now >= at + timeout) {
                self.requested_at.insert(version.key, now);
                keys.push(version.key);
            }
        }
        if !keys.is_empty() {
            self.send(now, from, Message::Want(keys), actions);
        }
    }

    /// Sends the objects in some buckets that are newer than those of a peer or that it lacks.
    fn send_newer(
        &mut self,
        now: Duration,
        to: SocketAddr,
        buckets: &[u8],
        versions: &[Version],
        actions: &mut Vec<Action>,
    ) {
        let theirs: Map<KeyId, Version> = versions.iter().map(|it| (it.key, *it)).collect();
        let is_newer = |own: &Version| theirs.get(&own.key).is_none_or(|it| own.replaces(it));
        let buckets: BTreeSet<usize> = buckets.iter().map(|&at| usize::from(at)).collect();
        let own = buckets
            .iter()
            .flat_map(|&at| self.store.bucket_versions(at));
        let keys: Vec<KeyId> = own.filter(is_newer).map(|own| own.key).collect();
        debug_assert!(keys.iter().all(|&key| buckets.contains(&bucket(key))));
        self.send_objects(now, to, keys, actions);
    }

    fn send_objects(
        &mut self,
        now: Duration,
        to: SocketAddr,
        keys: Vec<KeyId>,
        actions: &mut Vec<Action>,
    ) {
        let mut part = Vec::new();
        let mut bytes = 0;
        for key in keys {
            let Some(object) = self.store.get(key).cloned() else {
                continue;
            };
            let size = object.encoded_bytes();
            if !part.is_empty() && bytes + size > MESSAGE_BYTES - HEADER_BYTES {
                let message = Message::Objects(std::mem::take(&mut part));
                self.send(now, to, message, actions);
                bytes = 0;
            }
            bytes += size;
            part.push(object);
        }
        if !part.is_empty() {
            self.send(now, to, Message::Objects(part), actions);
        }
    }

    fn send_to_any(&mut self, now: Duration, message: Message, actions: &mut Vec<Action>) {
        if let Some(peer) = self.peers.choose(&mut self.rng).copied() {
            self.send(now, peer.address, message, actions);
        }
    }

    /// Sends a message if the byte budget allows it, and returns whether it does.
    fn send(
        &mut self,
        now: Duration,
        to: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_allowed = self.budget.try_take(now, message.encoded_bytes());
        if is_allowed {
            actions.push(Action::Send { to, message });
        }
        is_allowed
    }

    /// Returns a digest of all objects.
    fn summary(&self) -> u32 {
        let digests = self.store.digests().iter();
        digests.fold(0, |sum: u32, it| sum.rotate_left(1) ^ it)
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.9..1.1))
    }
}

impl Message {
    /// Returns an upper bound of the size in bytes when encoded as CBOR.
    pub fn encoded_bytes(&self) -> usize {
        const HEADER: usize = 8;
        let content = match self {
            Message::Summary(_) => 5,
            Message::Digest(digests) => digests.len() * 5,
            Message::Buckets(buckets, versions) => {
                buckets.len() * 2 + versions.len() * Version::BYTES
            }
            Message::Versions(versions) => versions.len() * Version::BYTES,
            Message::Want(keys) => keys.len() * 9,
            Message::Objects(objects) => objects.iter().map(Object::encoded_bytes).sum(),
        };
        HEADER + content
    }
}
