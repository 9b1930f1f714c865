//! Replay of entries that send to the groups of one model, with equal shares or shares by demand.

use std::time::Duration;

use briartray_fleet::director::{ActivityTracker, ShareTracker};
use briartray_fleet::entry::{LoadSample, ShareBook, TargetLoad};
use briartray_fleet::message::{GroupActivity, ModelDemand, WorkSum};
use briartray_model::TimePoint;
use briartray_model::names::{GroupId, NodeName, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 48;

const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 250;
const FIRST_EVENT_MS: u64 = 300;
const WARM_UP_MS: u64 = 5_000;

/// Time for which a usual request occupies a slot, in milliseconds, and its group time.
const USUAL: (u64, f64) = (1_600, 35.0);

/// The same for a prompt of 5,800 tokens, which one in twenty requests has.
const LONG: (u64, f64) = (1_900, 160.0);
const LONG_PART: f64 = 0.05;

/// Rule by which entries divide free capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Division {
    /// The previous rule: an equal share for each entry.
    Equal,
    ByDemand,
}

/// Numbers of entries and groups, and of replays that are summed up: the refusals of one vary by a
/// tenth.
#[derive(Debug, Clone, Copy)]
pub struct ReplaySize {
    pub entries: usize,
    pub groups: usize,
    pub seeds: u64,
}

/// A small deployment.
const SMALL: ReplaySize = ReplaySize { entries: 16, groups: 5, seeds: 6 };

/// Counts of a replay after its first 5 s.
#[derive(Debug, Clone, Default)]
pub struct ReplayCounts {
    pub sent: usize,
    pub refused: usize,
    /// Requests sent to a group whose slots were all in use.
    pub overfilled: usize,
    pub refused_at: Vec<usize>,
}

impl ReplayCounts {
    /// Adds the counts of another replay.
    fn add(mut self, other: &Self) -> Self {
        self.sent += other.sent;
        self.refused += other.refused;
        self.overfilled += other.overfilled;
        let pairs = self.refused_at.iter_mut().zip(&other.refused_at);
        pairs.for_each(|(sum, count)| *sum += count);
        self
    }

    /// Refusals at the entries that `of` selects.
    pub fn refused_by(&self, of: impl Fn(usize) -> bool) -> usize {
        let entries = 0..self.refused_at.len();
        entries.filter(|number| of(*number)).map(|number| self.refused_at[number]).sum()
    }
}

/// As [`replay_sized`] for a small deployment.
pub fn replay(
    division: Division,
    max_wait_ms: u64,
    length: u64,
    load: f64,
    factor: impl Fn(usize, u64) -> f64 + Copy,
) -> ReplayCounts {
    replay_sized(SMALL, division, max_wait_ms, length, load, factor)
}

/// Runs replays of `length` milliseconds at `load` of the slots under `division`, with
/// requests that wait for up to `max_wait_ms`; `factor(entry, millis)` scales the requests of an
/// entry.
pub fn replay_sized(
    size: ReplaySize,
    division: Division,
    max_wait_ms: u64,
    length: u64,
    load: f64,
    factor: impl Fn(usize, u64) -> f64 + Copy,
) -> ReplayCounts {
    let empty = ReplayCounts { refused_at: vec![0; size.entries], ..ReplayCounts::default() };
    let run = |seed| ShareReplay::new(size, division, max_wait_ms, seed).run(length, load, factor);
    (0..size.seeds).map(run).fold(empty, |sum, counts| sum.add(&counts))
}

struct ReplayEntry {
    name: NodeName,
    loads: Vec<TargetLoad>,
    book: ShareBook,
    work_ms: f64,
    /// Requests that wait for room: since when, and how long they will hold a slot.
    waiting: Vec<(u64, u64)>,
}

struct RunningRequest {
    begun: u64,
    ends: u64,
    entry: usize,
    group: usize,
}

struct ShareReplay {
    size: ReplaySize,
    division: Division,
    entries: Vec<ReplayEntry>,
    /// Time for which a request waits at its entry for room, in milliseconds.
    max_wait_ms: u64,
    running: Vec<RunningRequest>,
    shares: ShareTracker,
    activity: ActivityTracker,
    random: ChaCha8Rng,
}

fn service() -> ServiceName {
    ServiceName::new("desk")
}

fn at(millis: u64) -> TimePoint {
    TimePoint((millis + 10_000) * 1_000)
}

impl ShareReplay {
    fn new(size: ReplaySize, division: Division, max_wait_ms: u64, seed: u64) -> Self {
        let mut shares = ShareTracker::default();
        shares.set_services(vec![service()]);
        let entry = |number| ReplayEntry {
            name: NodeName::new(&format!("10.0.0.{number}")),
            loads: vec![TargetLoad::default(); size.groups],
            book: ShareBook::default(),
            work_ms: 0.0,
            waiting: Vec::new(),
        };
        Self {
            size,
            division,
            entries: (0..size.entries).map(entry).collect(),
            max_wait_ms,
            running: Vec::new(),
            shares,
            activity: ActivityTracker::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Runs for `length` milliseconds at `load` of the slots; `factor(entry, millis)` scales the
    /// requests of an entry.
    fn run(mut self, length: u64, load: f64, factor: impl Fn(usize, u64) -> f64) -> ReplayCounts {
        let mean_ms = USUAL.0 as f64 * (1.0 - LONG_PART) + LONG.0 as f64 * LONG_PART;
        let usual_rate =
            load * (self.size.groups * SLOTS) as f64 / mean_ms / self.size.entries as f64;
        let mut counts =
            ReplayCounts { refused_at: vec![0; self.size.entries], ..ReplayCounts::default() };
        for now in (0..length).step_by(STEP_MS as usize) {
            self.end_requests(now);
            for number in 0..self.size.entries {
                if (now + number as u64 * STEP_MS).is_multiple_of(REPORT_MS) {
                    self.report(now, number);
                }
                let due = usual_rate * factor(number, now) * STEP_MS as f64;
                let requests = due.floor() as u32 + u32::from(self.random.random_bool(due.fract()));
                (0..requests).for_each(|_| self.arrive(now, number));
                self.serve_waiting(now, number, &mut counts);
            }
        }
        counts
    }

    /// Ends requests, and lets groups state their load with first events.
    fn end_requests(&mut self, now: u64) {
        for at_group in 0..self.size.groups {
            let running = u32::try_from(self.held_by(at_group)).expect("few requests");
            let sample = LoadSample { running, waiting: 0, slots: SLOTS as u32 };
            let first_events = self.running.iter().filter(|request| {
                request.group == at_group && now == request.begun + FIRST_EVENT_MS
            });
            for request in first_events {
                self.entries[request.entry].loads[at_group].sample(at(now), sample);
            }
        }
        let entries = &mut self.entries;
        self.running.retain(|request| {
            if request.ends <= now {
                entries[request.entry].loads[request.group].end(at(now));
            }
            request.ends > now
        });
    }

    fn arrive(&mut self, now: u64, number: usize) {
        let (length, work_ms) = if self.random.random_bool(LONG_PART) { LONG } else { USUAL };
        self.entries[number].work_ms += work_ms;
        self.entries[number].waiting.push((now, length));
    }

    fn report(&mut self, now: u64, number: usize) {
        let entry = &mut self.entries[number];
        let activity = |(group, load): (usize, &TargetLoad)| GroupActivity {
            group: GroupId(group as u64),
            quiet_ms: None,
            running: load.own_requests,
            suspect: false,
            unread_ms: 0,
        };
        let pulses: Vec<GroupActivity> = entry.loads.iter().enumerate().map(activity).collect();
        let work_ms = std::mem::take(&mut entry.work_ms);
        let sum = WorkSum { work_ms, ..WorkSum::default() };
        let demand = ModelDemand { service: service(), model: "large".to_owned(), sum };
        self.activity.take(at(now), &entry.name, &pulses);
        self.shares.take(at(now), &entry.name, &[demand]);
        for load in self.activity.loads_of_others(&entry.name, 0) {
            entry.loads[load.group.0 as usize].record_others(at(now), load.others);
        }
        if self.division == Division::ByDemand {
            entry.book.grant(at(now), &self.shares.shares_of(&entry.name));
        }
    }

    /// Serves the requests that wait at an entry in order, and refuses those that waited too long.
    fn serve_waiting(&mut self, now: u64, number: usize, counts: &mut ReplayCounts) {
        let mut waiting = std::mem::take(&mut self.entries[number].waiting);
        waiting.retain(|(since, length)| {
            if self.send(now, number, *length, counts) {
                return false;
            }
            let refused = now - since >= self.max_wait_ms;
            if refused && now >= WARM_UP_MS {
                counts.refused += 1;
                counts.refused_at[number] += 1;
            }
            !refused
        });
        self.entries[number].waiting = waiting;
    }

    /// Sends a request that holds its slot for about `length` milliseconds; `false` if no group has
    /// room for it.
    fn send(&mut self, now: u64, number: usize, length: u64, counts: &mut ReplayCounts) -> bool {
        let entry = &mut self.entries[number];
        let entries = self.size.entries;
        let fraction = entry.book.fraction(at(now), &service(), "large", entries);
        let groups = self.size.groups;
        let first = self.random.random_range(0..groups);
        let chosen = (first..first + groups).map(|group| group % groups).find(|group| {
            let free = entry.loads[*group].free_share(at(now), SLOTS as f64, fraction);
            free >= 1.0 || free > self.random.random_range(0.0..1.0)
        });
        let Some(group) = chosen else { return false };
        entry.loads[group].begin(at(now));
        let held = self.held_by(group);
        if now >= WARM_UP_MS {
            counts.sent += 1;
            counts.overfilled += usize::from(held >= SLOTS);
        }
        // The length varies by half, as that of answers does.
        let span = Duration::from_millis(length).mul_f64(self.random.random_range(0.5..1.5));
        let ends = now + u64::try_from(span.as_millis()).expect("a few seconds");
        self.running.push(RunningRequest { begun: now, ends, entry: number, group });
        true
    }

    fn held_by(&self, group: usize) -> usize {
        self.running.iter().filter(|request| request.group == group).count()
    }
}
