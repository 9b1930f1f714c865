//! LRU cache of prompt prefixes, bounded in blocks, and the events that it publishes.

use std::time::Duration;

use briartray_model::{SortedTable, plain_choice, plain_value};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

/// Prompt bytes per token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Prompt bytes per cache block, which is 16 tokens.
pub const BLOCK_BYTES: usize = 16 * BYTES_PER_TOKEN;

/// Size of the blob that represents the keys and values of a block, in bytes.
const BLOB_BYTES: usize = 256;

/// Maximum number of events kept for slow readers.
const MAX_EVENTS: usize = 4096;

plain_choice! {
    /// Kind of a cache event.
    pub enum CacheChange {
        /// The prefix was added.
        Stored,
        /// The prefix was evicted.
        Evicted,
    }
}

plain_value! {
    /// A change of the cache.
    pub struct CacheEvent {
        /// Sequence number, from one; a gap means that an event was lost.
        pub sequence: u64,
        /// Kind of the change.
        pub change: CacheChange,
        /// Hash of the prompt from its start to the end of the block, in hexadecimal.
        pub prefix: String,
    }
}

/// LRU cache of prefixes.
#[derive(Debug)]
pub struct PrefixCache {
    max_blocks: usize,
    event_delay: Duration,
    event_loss: f64,
    generator: ChaCha8Rng,
    /// Value of `use_count` at the last use, by prefix hash.
    blocks: SortedTable<u64, u64>,
    use_count: u64,
    next_sequence: u64,
    events: Vec<(Duration, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache of `max_blocks` blocks.
    ///
    /// Events are published `event_delay` late; a share `event_loss` (0 to 1) of them is lost.
    pub fn new(max_blocks: usize, event_delay: Duration, event_loss: f64, seed: u64) -> Self {
        Self {
            max_blocks,
            event_delay,
            event_loss: event_loss.clamp(0.0, 1.0),
            generator: ChaCha8Rng::seed_from_u64(seed),
            blocks: SortedTable::new(),
            use_count: 0,
            next_sequence: 1,
            events: Vec::new(),
        }
    }

    /// Adds the blocks of `prompt` and returns the number of tokens that were not cached.
    pub fn read_prompt(&mut self, now: Duration, prompt: &str) -> usize {
        let mut cached = 0;
        let mut contiguous = true;
        for hash in block_hashes(prompt) {
            self.use_count += 1;
            let was_cached = self.blocks.insert(hash, self.use_count).is_some();
            contiguous &= was_cached;
            if contiguous {
                cached += BLOCK_BYTES;
            }
            if !was_cached {
                self.publish(now, CacheChange::Stored, hash);
            }
        }
        self.evict(now);
        (prompt.len() - cached).div_ceil(BYTES_PER_TOKEN)
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the published events with a sequence number above `cursor`.
    pub fn events_after(&self, now: Duration, cursor: u64) -> Vec<CacheEvent> {
        let is_due = |at: Duration| at + self.event_delay <= now;
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > cursor && is_due(*at))
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Returns the blob of a cached prefix.
    pub fn export_blob(&self, prefix: u64) -> Option<Vec<u8>> {
        self.blocks.contains_key(&prefix).then(|| make_blob(prefix))
    }

    /// Adds a prefix from another engine's blob; returns `false` if the blob does not match it.
    pub fn import_blob(&mut self, now: Duration, prefix: u64, blob: &[u8]) -> bool {
        if blob != make_blob(prefix) {
            return false;
        }
        self.use_count += 1;
        if self.blocks.insert(prefix, self.use_count).is_none() {
            self.publish(now, CacheChange::Stored, prefix);
        }
        self.evict(now);
        true
    }

    fn evict(&mut self, now: Duration) {
        while self.blocks.len() > self.max_blocks {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used).map(|(hash, _)| *hash);
            let Some(oldest) = oldest else { return };
            self.blocks.remove(&oldest);
            self.publish(now, CacheChange::Evicted, oldest);
        }
    }

    fn publish(&mut self, now: Duration, change: CacheChange, hash: u64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.generator.random_bool(self.event_loss) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        let prefix = format!("{hash:016x}");
        self.events.push((now, CacheEvent { sequence, change, prefix }));
    }
}

/// Returns the hash of `prompt` from its start to the end of each full block.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let ends = (1..=bytes.len() / BLOCK_BYTES).map(|block| block * BLOCK_BYTES);
    ends.map(|end| xxh3_64(&bytes[..end])).collect()
}

/// Generates the blob of a prefix from its hash, so that a damaged or foreign blob is detected.
fn make_blob(prefix: u64) -> Vec<u8> {
    let mut generator = ChaCha8Rng::seed_from_u64(prefix);
    (0..BLOB_BYTES).map(|_| generator.random()).collect()
}
