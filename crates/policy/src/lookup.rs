//! Maglev consistent hashing: fixed-size lookup tables from a hash to an identifier.
//!
//! Every balancer computes the same table from the same inputs, so no messages are needed to agree on it. See
//! [ownership](../../../docs/design.md#4-ownership) for the alternatives that were considered.

use {crate::flow::Hash, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Number of slots of an owner table; a prime, so that every probe sequence visits all slots.
pub const OWNER_SLOTS: usize = 65_537;

/// Minimum number of slots per upstream in a pool's table, as far as the largest table size allows.
const SLOTS_PER_UPSTREAM: usize = 100;

/// Sizes of pool tables; primes, so that every probe sequence visits all slots.
const POOL_TABLE_SIZES: [usize; 9] = [251, 509, 1_021, 2_039, 4_093, 8_191, 16_381, 32_749, 65_537];

const OFFSET_SEED: u64 = 0x6f66_6673;
const SKIP_SEED: u64 = 0x736b_6970;
const EMPTY_SLOT: u16 = u16::MAX;

/// An input of a table: a stable identifier and its share of the slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Input {
    /// Identifier, which must be the same on every balancer.
    pub id: u64,
    /// Share of the slots relative to the other inputs; an input with weight 0 gets no slots.
    pub weight: u32,
}

/// A lookup table from a flow hash to an identifier.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    ids: Vec<u64>,
    slots: Vec<u16>,
}

/// The order in which one input tries the slots, and its progress.
struct ProbeSequence {
    index: u16,
    next: usize,
    skip: usize,
    weight: u32,
    /// Accumulated weight; each slot uses up as much of it as the largest weight of all inputs.
    credit: u32,
}

impl Table {
    /// Builds a table with `size` slots, which must be a prime number.
    ///
    /// The order of the inputs does not matter. At most 65,535 inputs are used.
    pub fn new(inputs: &[Input], size: usize) -> Table {
        let mut inputs: Vec<Input> = inputs
            .iter()
            .copied()
            .filter(|input| input.weight > 0)
            .collect();
        inputs.sort_by_key(|input| input.id);
        inputs.dedup_by_key(|input| input.id);
        inputs.truncate(usize::from(EMPTY_SLOT));
        if inputs.is_empty() {
            return Table::default();
        }
        let slots = assign_slots(&inputs, size);
        let ids = inputs.iter().map(|input| input.id).collect();
        Table { ids, slots }
    }

    /// Returns the identifier for a hash, or `None` if the table has no inputs.
    pub fn get(&self, hash: Hash) -> Option<u64> {
        if self.slots.is_empty() {
            return None;
        }
        let slot = (hash % self.slots.len() as u64) as usize;
        self.ids.get(usize::from(self.slots[slot])).copied()
    }

    /// Returns the identifiers in ascending order.
    pub fn ids(&self) -> &[u64] {
        &self.ids
    }

    /// Returns the number of slots that have another identifier in `other`, which must have the same size.
    pub fn differing_slots(&self, other: &Table) -> usize {
        let slots = self.slots.iter().zip(&other.slots);
        slots
            .filter(|&(&a, &b)| self.ids.get(usize::from(a)) != other.ids.get(usize::from(b)))
            .count()
    }
}

/// Returns the number of slots for a pool of the given number of upstreams.
pub fn pool_slots(upstreams: usize) -> usize {
    let min_size = upstreams.saturating_mul(SLOTS_PER_UPSTREAM);
    POOL_TABLE_SIZES
        .into_iter()
        .find(|&size| size >= min_size)
        .unwrap_or(OWNER_SLOTS)
}

fn assign_slots(inputs: &[Input], size: usize) -> Vec<u16> {
    let largest = inputs.iter().map(|input| input.weight).max().unwrap_or(1);
    let mut sequences = probe_sequences(inputs, size);
    let mut slots = vec![EMPTY_SLOT; size];
    let mut empty = size;
    loop {
        for sequence in &mut sequences {
            sequence.credit += sequence.weight;
            if sequence.credit < largest {
                continue;
            }
            sequence.credit -= largest;
            assign_slot(&mut slots, sequence);
            empty -= 1;
            if empty == 0 {
                return slots;
            }
        }
    }
}

fn probe_sequences(inputs: &[Input], size: usize) -> Vec<ProbeSequence> {
    let size = size as u64;
    let sequence = |(index, input): (usize, &Input)| {
        let bytes = input.id.to_be_bytes();
        ProbeSequence {
            index: index as u16,
            next: (xxh3_64_with_seed(&bytes, OFFSET_SEED) % size) as usize,
            skip: (xxh3_64_with_seed(&bytes, SKIP_SEED) % (size - 1) + 1) as usize,
            weight: input.weight,
            credit: 0,
        }
    };
    inputs.iter().enumerate().map(sequence).collect()
}

fn assign_slot(slots: &mut [u16], sequence: &mut ProbeSequence) {
    while slots[sequence.next] != EMPTY_SLOT {
        sequence.advance(slots.len());
    }
    slots[sequence.next] = sequence.index;
    sequence.advance(slots.len());
}

impl ProbeSequence {
    fn advance(&mut self, size: usize) {
        self.next += self.skip;
        if self.next >= size {
            self.next -= size;
        }
    }
}
