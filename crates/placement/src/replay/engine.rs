//! Simulated engines: the weights loaded on each host, and loads that share the weight store.

use briartray_model::SortedTable;
use briartray_model::names::HostName;

/// The part of a model that one host loads: its rank and the number of hosts in the group.
pub(super) type ShardKey = (usize, usize);

/// A load in progress.
#[derive(Debug, Clone, PartialEq)]
struct HostLoad {
    shard: ShardKey,
    /// Seconds until it ends at full speed.
    seconds_left: f64,
}

/// Weights loaded on hosts, and loads in progress.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct EngineFleet {
    loaded: SortedTable<HostName, ShardKey>,
    loads: SortedTable<HostName, HostLoad>,
    load_seconds: f64,
    parallel_loads: u32,
}

impl EngineFleet {
    pub(super) fn new(load_seconds: f64, parallel_loads: u32) -> Self {
        Self { load_seconds, parallel_loads, ..Self::default() }
    }

    pub(super) fn set_parallel_loads(&mut self, parallel_loads: u32) {
        self.parallel_loads = parallel_loads;
    }

    /// Whether `host` has the weights of `shard` loaded.
    pub(super) fn is_ready(&self, host: &HostName, shard: ShardKey) -> bool {
        self.loaded.get(host) == Some(&shard)
    }

    /// Starts to load `shard` on `host`, unless it is loaded or being loaded already.
    pub(super) fn request_load(&mut self, host: &HostName, shard: ShardKey) {
        if self.is_ready(host, shard) {
            self.loads.remove(host);
            return;
        }
        if self.loads.get(host).is_some_and(|load| load.shard == shard) {
            return;
        }
        self.loaded.remove(host);
        self.loads.insert(host.clone(), HostLoad { shard, seconds_left: self.load_seconds });
    }

    /// Cancels the load of a host that disappears or is freed.
    pub(super) fn cancel_load(&mut self, host: &HostName) {
        self.loads.remove(host);
    }

    /// Discards the weights of a host whose engine restarted.
    pub(super) fn discard_weights(&mut self, host: &HostName) {
        self.loaded.remove(host);
        self.loads.remove(host);
    }

    /// Seconds until the next load ends; `None` if none is running.
    pub(super) fn next_load_end(&self) -> Option<f64> {
        let least = self.loads.values().map(|load| load.seconds_left).reduce(f64::min)?;
        Some(least / self.load_speed())
    }

    /// Advances the loads by `seconds`; returns the hosts whose loads have ended.
    pub(super) fn advance(&mut self, seconds: f64) -> Vec<HostName> {
        let progress = seconds * self.load_speed();
        let loaded = &mut self.loaded;
        let mut ended = Vec::new();
        self.loads.retain(|host, load| {
            load.seconds_left -= progress;
            let unfinished = load.seconds_left > LOAD_END_TOLERANCE_SECONDS;
            if !unfinished {
                loaded.insert(host.clone(), load.shard);
                ended.push(host.clone());
            }
            unfinished
        });
        ended
    }

    /// Speed of each load relative to a load that runs alone.
    fn load_speed(&self) -> f64 {
        let running = self.loads.len() as f64;
        match self.parallel_loads {
            0 => 1.0,
            limit => (f64::from(limit) / running.max(1.0)).min(1.0),
        }
    }
}

/// A load with less than this left has ended: time points are rounded to whole microseconds.
const LOAD_END_TOLERANCE_SECONDS: f64 = 5e-6;
