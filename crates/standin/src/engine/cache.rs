//! A cache of prompt prefixes with bounded memory, and the events it publishes.

use std::time::Duration;

use briartray_model::{SortedTable, plain_choice, plain_value};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt in one block: sixteen tokens.
pub const BLOCK_BYTES: usize = 16 * BYTES_PER_TOKEN;

/// Bytes of the blob that stands for one block's keys and values.
const BLOB_BYTES: usize = 256;

/// Events that are remembered for slow readers.
const MAX_EVENTS: usize = 4096;

plain_choice! {
    /// What happened to a prefix.
    pub enum CacheChange {
        /// It is cached now.
        Stored,
        /// It is cached no more.
        Evicted,
    }
}

plain_value! {
    /// One change of the cache.
    pub struct CacheEvent {
        /// Position; a missing one was lost.
        pub sequence: u64,
        /// What happened.
        pub change: CacheChange,
        /// Hash of the prompt from its start up to the end of the block.
        pub prefix: String,
    }
}

/// Prefixes in the order of their last use.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    delay: Duration,
    loss: f64,
    generator: ChaCha8Rng,
    /// Last use by prefix hash.
    blocks: SortedTable<u64, u64>,
    uses: u64,
    next_event: u64,
    events: Vec<(Duration, CacheEvent)>,
}

impl PrefixCache {
    /// An empty cache of `limit` blocks whose events come `delay` late; a share `loss` never does.
    pub fn new(limit: usize, delay: Duration, loss: f64, seed: u64) -> Self {
        Self {
            limit,
            delay,
            loss: loss.clamp(0.0, 1.0),
            generator: ChaCha8Rng::seed_from_u64(seed),
            blocks: SortedTable::new(),
            uses: 0,
            next_event: 1,
            events: Vec::new(),
        }
    }

    /// Uses `prompt`: stores its blocks and returns how many tokens were not cached.
    pub fn read_prompt(&mut self, now: Duration, prompt: &str) -> usize {
        let mut cached = 0;
        let mut unbroken = true;
        for hash in block_hashes(prompt) {
            self.uses += 1;
            let known = self.blocks.insert(hash, self.uses).is_some();
            unbroken &= known;
            if unbroken {
                cached += BLOCK_BYTES;
            }
            if !known {
                self.publish(now, CacheChange::Stored, hash);
            }
        }
        self.evict(now);
        (prompt.len() - cached).div_ceil(BYTES_PER_TOKEN)
    }

    /// Blocks that are cached.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Events after `cursor` that are old enough to be published.
    pub fn events_after(&self, now: Duration, cursor: u64) -> Vec<CacheEvent> {
        let due = |at: Duration| at + self.delay <= now;
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > cursor && due(*at))
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// The blob of a cached prefix.
    pub fn export_blob(&self, prefix: u64) -> Option<Vec<u8>> {
        self.blocks.contains_key(&prefix).then(|| make_blob(prefix))
    }

    /// Stores a prefix from another engine's blob; `false` when the blob is damaged.
    pub fn import_blob(&mut self, now: Duration, prefix: u64, blob: &[u8]) -> bool {
        if blob != make_blob(prefix) {
            return false;
        }
        self.uses += 1;
        if self.blocks.insert(prefix, self.uses).is_none() {
            self.publish(now, CacheChange::Stored, prefix);
        }
        self.evict(now);
        true
    }

    fn evict(&mut self, now: Duration) {
        while self.blocks.len() > self.limit {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used).map(|(hash, _)| *hash);
            let Some(oldest) = oldest else { return };
            self.blocks.remove(&oldest);
            self.publish(now, CacheChange::Evicted, oldest);
        }
    }

    fn publish(&mut self, now: Duration, change: CacheChange, hash: u64) {
        let sequence = self.next_event;
        self.next_event += 1;
        if self.generator.random_bool(self.loss) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        let prefix = format!("{hash:016x}");
        self.events.push((now, CacheEvent { sequence, change, prefix }));
    }
}

/// Hash of `prompt` from its start to the end of each whole block.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let ends = (1..=bytes.len() / BLOCK_BYTES).map(|block| block * BLOCK_BYTES);
    ends.map(|end| xxh3_64(&bytes[..end])).collect()
}

/// A blob that a damaged or foreign one never equals: bytes drawn from the prefix's hash.
fn make_blob(prefix: u64) -> Vec<u8> {
    let mut generator = ChaCha8Rng::seed_from_u64(prefix);
    (0..BLOB_BYTES).map(|_| generator.random()).collect()
}
