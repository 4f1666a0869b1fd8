//! Active configuration objects of one balancer. An object is replaced only by a newer version of it.
//!
//! See [configuration](../../../docs/design.md#9-configuration).

use {
    crate::{
        config::{Pool, Resolved, Snapshot, Upstream},
        config_object::{KeyId, Object, Source, Value, Version},
        id::{self, Map, PoolId, UpstreamId},
        vm,
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of digest buckets.
pub const BUCKETS: usize = 64;

/// A bucket contains the keys with the same highest bits, which are adjacent in the ordered map of the store.
const BUCKET_SHIFT: u32 = KeyId::BITS - BUCKETS.ilog2();

/// Time for which an address that moved to another service is held: a route with this address is omitted, and an
/// upstream with it gets no new flows. It covers the time during which balancers have different versions of the
/// configuration.
pub const ADDRESS_HOLD: Duration = Duration::from_secs(10);

/// Active configuration objects.
#[derive(Clone, Debug)]
pub struct Store {
    objects: BTreeMap<KeyId, VersionedObject>,
    digests: Vec<u32>,
    assignments: Map<SocketAddr, AddressAssignment>,
    /// Pools of the latest snapshot, reused while they are unchanged.
    resolved: Map<PoolId, Arc<Resolved>>,
}

#[derive(Clone, Debug)]
struct VersionedObject {
    object: Object,
    version: Version,
}

/// The service that an address was last assigned to.
#[derive(Clone, Debug)]
struct AddressAssignment {
    service: String,
    /// End of the hold that began when the address moved to this service.
    held_until: Duration,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            objects: BTreeMap::new(),
            digests: vec![0; BUCKETS],
            assignments: Map::default(),
            resolved: Map::default(),
        }
    }
}

impl Store {
    /// Adopts an object if it is newer than the active version, and returns whether it is.
    pub fn adopt(&mut self, now: Duration, object: Object) -> bool {
        let version = object.version();
        let current = self.objects.get(&version.key);
        if current.is_some_and(|current| !version.replaces(&current.version)) {
            return false;
        }
        let index = bucket(version.key);
        self.digests[index] ^= digest(&version) ^ current.map_or(0, |it| digest(&it.version));
        self.record_assignments(now, &object);
        self.objects
            .insert(version.key, VersionedObject { object, version });
        true
    }

    /// Returns the object with a key.
    pub fn get(&self, key: KeyId) -> Option<&Object> {
        self.objects.get(&key).map(|entry| &entry.object)
    }

    /// Returns all objects.
    pub fn iter(&self) -> impl Iterator<Item = &Object> {
        self.objects.values().map(|entry| &entry.object)
    }

    /// Returns the version of the object with a key.
    pub fn version(&self, key: KeyId) -> Option<Version> {
        self.objects.get(&key).map(|entry| entry.version)
    }

    /// Returns whether a version would replace the active one.
    pub fn lacks(&self, version: &Version) -> bool {
        self.version(version.key)
            .is_none_or(|own| version.replaces(&own))
    }

    /// Returns the digest of each bucket.
    pub fn digests(&self) -> &[u32] {
        &self.digests
    }

    /// Returns the versions of the objects in one bucket.
    pub fn bucket_versions(&self, index: usize) -> Vec<Version> {
        let first = (index as KeyId) << BUCKET_SHIFT;
        let last = first | (KeyId::MAX >> BUCKETS.ilog2());
        let entries = self.objects.range(first..=last);
        entries.map(|(_, entry)| entry.version).collect()
    }

    /// Returns the entry VMs of the VM list, as published by the readers.
    pub fn listed_vms(&self) -> Vec<vm::Record> {
        let record = |object: &Object| match &object.value {
            Value::Vm(record, true) => Some(record.clone()),
            _ => None,
        };
        self.iter().filter_map(record).collect()
    }

    /// Returns whether a source reports that an upstream is draining.
    pub fn is_marked_draining(&self, upstream: UpstreamId, source: Source) -> bool {
        let key = id::from_name(&Object::drain_key(upstream, source));
        let mark = self.get(key).map(|object| &object.value);
        matches!(mark, Some(Value::Drain(_, _, true)))
    }

    /// Returns the upstreams of all pools by address.
    pub fn upstreams_by_address(&self) -> Map<SocketAddr, Vec<UpstreamId>> {
        let mut upstreams: Map<SocketAddr, Vec<UpstreamId>> = Map::default();
        for object in self.iter() {
            let Value::Pool(pool) = &object.value else {
                continue;
            };
            for upstream in &pool.upstreams {
                let id = id::from_upstream(&pool.name, &upstream.name);
                upstreams.entry(upstream.address).or_default().push(id);
            }
        }
        upstreams
    }

    /// Derives the active routes and pools.
    ///
    /// An upstream is marked `drain` if any source reports that it is draining or if its address is held. A route whose
    /// address is held is omitted.
    pub fn snapshot(&mut self, now: Duration) -> Snapshot {
        let mut snapshot = Snapshot::default();
        let mut pools = Vec::new();
        for object in self.iter() {
            match &object.value {
                Value::Route(it) if !self.is_held(now, it.address, &it.name) => {
                    let address = it.address;
                    snapshot.routes.insert(address, Arc::new(it.clone()));
                }
                Value::Pool(pool) => pools.push(self.effective_pool(now, pool)),
                _ => {}
            }
        }
        for pool in pools {
            let id = id::from_name(&pool.name);
            let known = self.resolved.get(&id).filter(|it| *it.pool == pool);
            // Building the lookup table of a large pool takes milliseconds, so unchanged pools are reused.
            let resolved = match known {
                Some(known) => known.clone(),
                None => Arc::new(Resolved::new(Arc::new(pool))),
            };
            snapshot.pools.insert(id, resolved);
        }
        self.resolved = snapshot.pools.clone();
        snapshot
    }

    /// Returns the earliest end of an address hold after a time.
    pub fn next_hold_end(&self, after: Duration) -> Option<Duration> {
        let hold_ends = self
            .assignments
            .values()
            .map(|assignment| assignment.held_until);
        hold_ends.filter(|&end| end > after).min()
    }

    /// Returns a pool in which the upstreams that must not get new flows are marked `drain`.
    fn effective_pool(&self, now: Duration, pool: &Pool) -> Pool {
        let is_draining = |it: &Upstream| {
            let id = id::from_upstream(&pool.name, &it.name);
            it.drain
                || self.is_marked_draining(id, Source::Upstream)
                || self.is_marked_draining(id, Source::Platform)
                || self.is_held(now, it.address, &pool.name)
        };
        let upstream = |it: &Upstream| Upstream {
            drain: is_draining(it),
            ..it.clone()
        };
        Pool {
            upstreams: pool.upstreams.iter().map(upstream).collect(),
            ..pool.clone()
        }
    }

    /// Returns whether an address belongs to another service, or has belonged to this one for less than
    /// [`ADDRESS_HOLD`].
    fn is_held(&self, now: Duration, address: SocketAddr, service: &str) -> bool {
        let assignment = self.assignments.get(&address);
        assignment
            .is_some_and(|assignment| assignment.service != service || assignment.held_until > now)
    }

    /// Records the service of each address in an object and holds the addresses that another service had before.
    fn record_assignments(&mut self, now: Duration, object: &Object) {
        let (service, addresses) = match &object.value {
            Value::Route(route) => (&route.name, vec![route.address]),
            Value::Pool(pool) => {
                let addresses = pool.upstreams.iter().map(|it| it.address);
                (&pool.name, addresses.collect())
            }
            Value::Deleted | Value::Vm(..) | Value::Drain(..) => return,
        };
        for address in addresses {
            let previous = self.assignments.get(&address);
            if previous.is_some_and(|assignment| assignment.service == *service) {
                continue;
            }
            let held_until = previous.map_or(Duration::ZERO, |_| now + ADDRESS_HOLD);
            let service = service.clone();
            let assignment = AddressAssignment {
                service,
                held_until,
            };
            self.assignments.insert(address, assignment);
        }
    }
}

/// Returns the bucket of a key.
pub fn bucket(key: KeyId) -> usize {
    (key >> BUCKET_SHIFT) as usize
}

fn digest(version: &Version) -> u32 {
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&version.key.to_be_bytes());
    bytes[8..16].copy_from_slice(&version.generation.to_be_bytes());
    bytes[16..].copy_from_slice(&version.content.to_be_bytes());
    xxh3_64(&bytes) as u32
}
