//! Contents of the emulated object store.

use {
    serde_json::Value,
    skylarkflow_store::wire::{Listing, Object},
    std::collections::BTreeMap,
};

/// Objects with their versions, and the revision of the last write.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    revision: u64,
    by_key: BTreeMap<String, Object>,
}

impl Objects {
    /// Writes an object if its current version is `version` (0 if it does not exist), and returns the new version.
    pub fn write(&mut self, key: &str, version: u64, value: Value) -> Option<u64> {
        let current = self.by_key.get(key).map_or(0, |object| object.version);
        if current != version {
            return None;
        }
        self.revision += 1;
        let object = Object {
            key: key.to_owned(),
            version: self.revision,
            value,
        };
        self.by_key.insert(key.to_owned(), object);
        Some(self.revision)
    }

    /// Returns the object with the given key.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.by_key.get(key)
    }

    /// Lists the objects under `prefix` that were written after `revision`.
    pub fn list(&self, prefix: &str, revision: u64) -> Listing {
        let objects = self.by_key.values();
        let matching = objects
            .filter(|object| object.key.starts_with(prefix) && object.version > revision)
            .cloned();
        Listing {
            revision: self.revision,
            objects: matching.collect(),
        }
    }
}
