//! How configuration, drain marks and the VM list spread between balancers.
//!
//! A balancer announces the versions that it adopted to 3 peers per round; peers ask for the objects that they lack.
//! An object therefore reaches each balancer about once, whatever the size of the fleet. See
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

/// Adoptions that a balancer repeats to a peer whose summary differs.
const RECENT: usize = 8;

/// A message between two relays.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Digest of all objects; answered with a digest by bucket if it differs.
    #[serde(rename = "s")]
    Summary(u32),
    /// Digest by bucket; answered with the versions of the buckets that differ.
    #[serde(rename = "d")]
    Digest(Vec<u32>),
    /// All versions of some buckets.
    #[serde(rename = "b")]
    Buckets(Vec<u8>, Vec<Version>),
    /// Versions that the sender has lately adopted.
    #[serde(rename = "v")]
    Versions(Vec<Version>),
    /// Asks for objects.
    #[serde(rename = "w")]
    Want(Vec<KeyId>),
    /// Objects.
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

/// Something that a balancer is to do.
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
    /// The store holds an older version than the one in force, which stays in force.
    Older {
        /// Key of the object.
        key: String,
    },
    /// Routes, pools or drains changed.
    Tables,
    /// The VM list changed.
    Listed,
}

/// Times and limits of the relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two rounds of announcements.
    pub round: Duration,
    /// Peers that get an announcement in one round.
    pub fanout: usize,
    /// Rounds in which a version is announced.
    pub rounds: usize,
    /// Time between two summaries to a peer, which repair a lost announcement.
    pub summary_interval: Duration,
    /// Time between two digests by bucket to a peer.
    pub digest_interval: Duration,
    /// Time after which a joining balancer asks another peer.
    pub join_interval: Duration,
    /// Time after which an object is asked for again.
    pub want_timeout: Duration,
    /// Mean budget in bytes per second.
    pub budget: usize,
    /// Bytes that a burst of changes or a joining balancer may take at once.
    pub burst: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            round: Duration::from_millis(200),
            fanout: 3,
            rounds: 4,
            summary_interval: Duration::from_secs(1),
            digest_interval: Duration::from_secs(10),
            join_interval: Duration::from_millis(500),
            want_timeout: Duration::from_millis(300),
            budget: 400,
            burst: 65_536,
        }
    }
}

/// The relay of one balancer, with the objects in force.
#[derive(Debug)]
pub struct Relay {
    settings: Settings,
    store: Store,
    reader: Reader,
    rng: SmallRng,
    budget: TokenBucket,
    peers: Vec<Peer>,
    hot: Vec<(KeyId, usize)>,
    /// The latest adoptions, the last one first.
    recent: VecDeque<KeyId>,
    asked: Map<KeyId, Duration>,
    is_synchronized: bool,
    heard: Duration,
    next_round: Duration,
    next_summary: Duration,
    next_digest: Duration,
}

impl Relay {
    /// Creates a relay without objects and peers.
    pub fn new(settings: Settings, seed: u64) -> Relay {
        Relay {
            budget: TokenBucket::new(settings.budget, settings.burst),
            settings,
            store: Store::default(),
            reader: Reader::new(seed),
            rng: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            hot: Vec::new(),
            recent: VecDeque::new(),
            asked: Map::default(),
            is_synchronized: false,
            heard: Duration::ZERO,
            next_round: Duration::ZERO,
            next_summary: Duration::ZERO,
            next_digest: Duration::ZERO,
        }
    }

    /// Returns the objects in force.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the objects in force, to derive a snapshot.
    pub fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Returns the reader of the platform.
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
        // A zone that is reachable again may have missed changes.
        let chosen = new.choose_multiple(&mut self.rng, self.settings.fanout);
        for peer in chosen.copied().collect::<Vec<_>>() {
            let message = Message::Summary(self.summary());
            self.send(now, peer.address, message, actions);
        }
    }

    /// Adopts an object that this balancer observed itself.
    pub fn offer(&mut self, now: Duration, object: Object, actions: &mut Vec<Action>) {
        let key = object.id();
        let change = match object.value {
            Value::Vm(..) => Action::Listed,
            _ => Action::Tables,
        };
        if self.store.adopt(now, object) {
            self.hot.retain(|(hot, _)| *hot != key);
            self.hot.push((key, self.settings.rounds));
            self.recent.push_front(key);
            self.recent.truncate(RECENT);
            actions.push(change);
        }
    }

    /// Lets time pass; due every 100 ms.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.reader
            .tick(now, self.heard, self.peers.is_empty(), actions);
        if now >= self.next_round {
            self.next_round = now + self.settings.round;
            self.announce(now, actions);
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

    /// Handles a message of another relay.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        self.heard = now;
        match message {
            Message::Summary(digest) => {
                if digest != self.summary() {
                    self.send_differences(now, from, actions);
                }
            }
            Message::Digest(digests) => self.send_buckets(now, from, &digests, actions),
            Message::Buckets(buckets, versions) => {
                self.is_synchronized |= buckets.is_empty();
                self.want(now, from, &versions, actions);
                self.send_newer(now, from, &buckets, &versions, actions);
            }
            Message::Versions(versions) => self.want(now, from, &versions, actions),
            Message::Want(keys) => self.send_objects(now, from, keys, actions),
            Message::Objects(objects) => {
                for object in objects {
                    self.asked.remove(&object.id());
                    self.offer(now, object, actions);
                }
            }
        }
    }

    /// Handles an answer of the platform and returns the VM list if it is one.
    pub fn answer(&mut self, now: Duration, answer: Answer, actions: &mut Vec<Action>) {
        let objects = self.reader.answer(now, answer, &self.store, actions);
        self.is_synchronized |= objects.is_some();
        for object in objects.into_iter().flatten() {
            self.offer(now, object, actions);
        }
    }

    fn announce(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let most = (MESSAGE_BYTES - 16) / Version::BYTES;
        let store = &self.store;
        let versions = self.hot.iter().filter_map(|&(key, _)| store.version(key));
        let versions: Vec<Version> = versions.take(most).collect();
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
            for (_, rounds) in self.hot.iter_mut().take(most) {
                *rounds -= 1;
            }
            self.hot.retain(|(_, rounds)| *rounds > 0);
        }
    }

    /// Sends the latest versions, which saves two messages if only an announcement was lost, and the digest.
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

    fn send_buckets(
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
        for at in (0..BUCKETS).filter(|&at| own[at] != digests[at]) {
            let more = self.store.in_bucket(at);
            let bytes = (versions.len() + more.len()) * Version::BYTES;
            if !buckets.is_empty() && bytes > MESSAGE_BYTES - 150 {
                let message =
                    Message::Buckets(std::mem::take(&mut buckets), std::mem::take(&mut versions));
                self.send(now, to, message, actions);
            }
            buckets.push(at as u8);
            versions.extend(more);
        }
        self.send(now, to, Message::Buckets(buckets, versions), actions);
    }

    fn want(
        &mut self,
        now: Duration,
        from: SocketAddr,
        versions: &[Version],
        actions: &mut Vec<Action>,
    ) {
        let timeout = self.settings.want_timeout;
        let mut keys = Vec::new();
        for version in versions.iter().filter(|version| self.store.lacks(version)) {
            let asked = self.asked.get(&version.key);
            if asked.is_none_or(|&at| now >= at + timeout) {
                self.asked.insert(version.key, now);
                keys.push(version.key);
            }
        }
        if !keys.is_empty() {
            self.send(now, from, Message::Want(keys), actions);
        }
    }

    /// Sends the objects of some buckets that a peer lacks.
    fn send_newer(
        &mut self,
        now: Duration,
        to: SocketAddr,
        buckets: &[u8],
        versions: &[Version],
        actions: &mut Vec<Action>,
    ) {
        let theirs: Map<KeyId, Version> = versions.iter().map(|it| (it.key, *it)).collect();
        let lacked = |own: &Version| theirs.get(&own.key).is_none_or(|it| own.replaces(it));
        let buckets: BTreeSet<usize> = buckets.iter().map(|&at| usize::from(at)).collect();
        let own = buckets.iter().flat_map(|&at| self.store.in_bucket(at));
        let keys: Vec<KeyId> = own.filter(lacked).map(|own| own.key).collect();
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
            if !part.is_empty() && bytes + size > MESSAGE_BYTES - 16 {
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

    fn summary(&self) -> u32 {
        let digests = self.store.digests().iter();
        digests.fold(0, |sum: u32, it| sum.rotate_left(1) ^ it)
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.9..1.1))
    }
}

impl Message {
    /// Returns an upper estimate of the size in bytes when encoded as CBOR.
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
