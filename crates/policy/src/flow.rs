//! Flow keys, their hash, and the table of the flows that a balancer holds.

use {
    crate::{
        handover::Epoch,
        id::{UpstreamId, VmId},
    },
    indexmap::IndexMap,
    rustc_hash::FxBuildHasher,
    serde::{Deserialize, Serialize},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Hash of a flow key, which selects the owner and the upstream.
///
/// Every balancer and every version must compute the same value.
pub type Hash = u64;

/// Length of two encoded IPv6 addresses with their ports.
const MAX_ENCODED_KEY_BYTES: usize = 36;

/// The caller's address and the service's address, which identify a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port of the service.
    pub service: SocketAddr,
}

impl Key {
    /// Returns the hash of the addresses and ports in network byte order.
    pub fn hash(&self) -> Hash {
        let mut encoded = [0; MAX_ENCODED_KEY_BYTES];
        let mut length = 0;
        for address in [self.caller, self.service] {
            length = append_address(&mut encoded, length, address);
        }
        xxh3_64(&encoded[..length])
    }
}

/// Number of shards of the flow state, each with its own lock; must be a power of two.
pub const SHARDS: usize = 64;

/// State of one flow at the balancer that holds it.
///
/// An entry and its key must not exceed 200 bytes, the memory limit per flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Fabric socket that last delivered a datagram of the flow.
    pub fabric: Option<SocketAddr>,
    /// Upstream that serves the flow, or `None` while no upstream has been able to accept it.
    pub upstream: Option<UpstreamId>,
    /// Time of the last request.
    pub last_request_at: Duration,
    /// Time at which this balancer created the entry or received it from another balancer.
    pub acquired_at: Duration,
    /// End of the quarantine: until then, non-idempotent requests are answered with "outcome unknown".
    pub quarantined_until: Duration,
    /// Balancer that has a copy of the entry, or 0 for none.
    pub copy_holder: VmId,
    /// Number of transfers of the flow between balancers so far.
    pub epoch: Epoch,
    /// Number of the membership view in which the flow was acquired.
    pub view: u32,
    /// Fence term in which this balancer was last known to be the only holder of the flow.
    pub term: u32,
    /// Whether a request of the flow has been answered or may have run, so that the upstream may have state for it.
    pub established: bool,
    /// Whether this balancer serves the flow as acting owner, because the flow's home zone is unreachable.
    pub is_acting: bool,
    /// Whether the upstream has been in this balancer's tables.
    pub is_upstream_known: bool,
}

/// The flows of one shard, limited in number.
///
/// Uses an [`IndexMap`], which stores the entries in a dense vector with a separate index. A hash map that stores the
/// entries in its slots leaves up to half of them empty and so needs up to twice the memory.
#[derive(Debug)]
pub struct FlowTable {
    entries: IndexMap<PackedKey, Entry, FxBuildHasher>,
    limit: usize,
}

/// A [`Key`] in 16 bytes instead of 64 for IPv4, which almost all flows use.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum PackedKey {
    V4 {
        caller: (Ipv4Addr, u16),
        service: (Ipv4Addr, u16),
    },
    Other(Box<Key>),
}

/// State partitioned by flow hash, with one lock for each part.
#[derive(Debug)]
pub struct Shards<T> {
    parts: Box<[Mutex<T>]>,
}

impl FlowTable {
    /// Creates a table of at most `limit` flows.
    pub fn new(limit: usize) -> FlowTable {
        FlowTable {
            entries: IndexMap::default(),
            limit,
        }
    }

    /// Returns the entry of a flow.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(&PackedKey::from(*key))
    }

    /// Returns the entry of a flow for modification.
    pub fn get_mut(&mut self, key: &Key) -> Option<&mut Entry> {
        self.entries.get_mut(&PackedKey::from(*key))
    }

    /// Returns whether the table is below its limit.
    pub fn has_room(&self) -> bool {
        self.entries.len() < self.limit
    }

    /// Adds or replaces the entry of a flow.
    ///
    /// Does not enforce the limit: a flow handed over by another balancer would break if it were refused.
    pub fn insert(&mut self, key: Key, entry: Entry) {
        self.entries.insert(key.into(), entry);
    }

    /// Removes the entry of a flow.
    pub fn remove(&mut self, key: &Key) -> Option<Entry> {
        self.entries.swap_remove(&PackedKey::from(*key))
    }

    /// Removes and returns the flows whose last request is older than `oldest`.
    pub fn expire(&mut self, oldest: Duration) -> Vec<(Key, Entry)> {
        self.entries
            .extract_if(.., |_, entry| entry.last_request_at < oldest)
            .map(|(key, entry)| (key.into(), entry))
            .collect()
    }

    /// Returns all flows in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Entry)> {
        let entries = self.entries.iter();
        entries.map(|(key, entry)| (key.clone().into(), entry))
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl<T> Shards<T> {
    /// Creates the parts by calling `create` with the index of each.
    pub fn new(create: impl Fn(usize) -> T) -> Shards<T> {
        let parts = (0..SHARDS).map(|index| Mutex::new(create(index)));
        Shards {
            parts: parts.collect(),
        }
    }

    /// Locks the part with an index, modulo the number of parts.
    pub fn lock(&self, index: usize) -> MutexGuard<'_, T> {
        self.parts[index % SHARDS]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<Key> for PackedKey {
    fn from(key: Key) -> PackedKey {
        match (key.caller, key.service) {
            (SocketAddr::V4(caller), SocketAddr::V4(service)) => PackedKey::V4 {
                caller: (*caller.ip(), caller.port()),
                service: (*service.ip(), service.port()),
            },
            _ => PackedKey::Other(Box::new(key)),
        }
    }
}

impl From<PackedKey> for Key {
    fn from(key: PackedKey) -> Key {
        match key {
            PackedKey::V4 { caller, service } => Key {
                caller: caller.into(),
                service: service.into(),
            },
            PackedKey::Other(key) => *key,
        }
    }
}

/// Returns the index of the shard that holds a flow.
pub fn shard_index(key: &Key) -> usize {
    // The low bits select the slot of the owner table, so only the high bits spread the flows of one owner evenly.
    (key.hash() >> (Hash::BITS - SHARDS.ilog2())) as usize
}

fn append_address(
    encoded: &mut [u8; MAX_ENCODED_KEY_BYTES],
    start: usize,
    address: SocketAddr,
) -> usize {
    let port_start = match address.ip() {
        IpAddr::V4(ip) => append_bytes(encoded, start, &ip.octets()),
        IpAddr::V6(ip) => append_bytes(encoded, start, &ip.octets()),
    };
    append_bytes(encoded, port_start, &address.port().to_be_bytes())
}

fn append_bytes(encoded: &mut [u8; MAX_ENCODED_KEY_BYTES], start: usize, bytes: &[u8]) -> usize {
    let end = start + bytes.len();
    encoded[start..end].copy_from_slice(bytes);
    end
}
