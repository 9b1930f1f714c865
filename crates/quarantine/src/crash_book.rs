//! The crashes that a leader knows of, by request.

use std::time::Duration;

use briartray_model::message::{RunEnd, RunEvent};
use briartray_model::names::{IncarnationId, RequestPrint, TeamName};
use briartray_model::{SortedTable, TimePoint};

use super::{FATAL_CRASHES, QuarantineRecord, SUSPECT_CRASHES};

/// Time for which a crash counts.
pub(super) const EVIDENCE_LASTS: Duration = Duration::from_secs(600);

/// Time between two crashes that count as two whenever their runs began. A rack that loses power takes many
/// endpoints at once, and a popular request runs on several of them.
const CRASHES_APART: Duration = Duration::from_millis(250);

/// How much later than it began a run may seem to have begun: ages are told in whole milliseconds.
const BEGIN_SLACK: Duration = Duration::from_millis(3);

/// Requests that are kept. One crash brings up to a batch of them, most of which never come again.
const MAX_PRINTS: usize = 2_048;

/// Crashes that are kept of one request.
const MAX_CRASHES: usize = 8;

/// Suspects that entries are told of.
const MAX_SUSPECTS: usize = 64;

#[derive(Debug, Clone)]
struct CrashSight {
    at: TimePoint,
    /// When the run began that met the crash.
    began: TimePoint,
    endpoint: IncarnationId,
}

#[derive(Debug, Clone, Default)]
struct PrintRecord {
    /// Crashes since the last whole run, the oldest first; one for each endpoint.
    crashes: Vec<CrashSight>,
    whole_at: Option<TimePoint>,
    rule: String,
    team: Option<TeamName>,
    /// Whether its quarantine is on its way into the log.
    proposed: bool,
}

/// Crashes by request.
#[derive(Debug, Clone, Default)]
pub struct CrashBook {
    records: SortedTable<RequestPrint, PrintRecord>,
}

impl CrashBook {
    /// Takes a run that an entry reports; tells whether it says something new.
    pub fn take(&mut self, now: TimePoint, event: &RunEvent) -> bool {
        let age = Duration::from_millis(event.age_ms);
        if age >= EVIDENCE_LASTS {
            return false;
        }
        let at = age_point(now, age);
        match &event.end {
            RunEnd::Whole => self.ran_whole(event.print, at),
            RunEnd::Crashed { endpoint, ran_ms, rule, team } => {
                let record = self.record(event.print);
                let began = age_point(now, age + Duration::from_millis(*ran_ms));
                let sight = CrashSight { at, began, endpoint: endpoint.clone() };
                let fresh = record.crashed(sight);
                if fresh {
                    record.rule.clone_from(rule);
                    record.team.clone_from(team);
                }
                fresh
            }
        }
    }

    /// Requests to quarantine now; each is named once until [`Self::forget`] or [`Self::lost`].
    pub fn take_fatal(&mut self) -> Vec<QuarantineRecord> {
        let mut fatal = Vec::new();
        for (print, record) in self.records.iter_mut() {
            if record.proposed || record.strikes() < FATAL_CRASHES {
                continue;
            }
            record.proposed = true;
            fatal.push(QuarantineRecord {
                print: *print,
                rule: record.rule.clone(),
                team: record.team.clone(),
                endpoints: record.crashes.iter().map(|crash| crash.endpoint.clone()).collect(),
            });
        }
        fatal
    }

    /// The proposal to quarantine `print` was lost: it is made again.
    pub fn lost(&mut self, print: RequestPrint) {
        if let Some(record) = self.records.get_mut(&print) {
            record.proposed = false;
        }
    }

    /// Counts no crash of `print` from before `now`, also where entries still tell of it.
    pub fn clear(&mut self, now: TimePoint, print: RequestPrint) {
        self.ran_whole(print, age_point(now, Duration::ZERO));
        if let Some(record) = self.records.get_mut(&print) {
            record.proposed = false;
        }
    }

    /// Forgets a request: it is in quarantine.
    pub fn forget(&mut self, print: RequestPrint) {
        self.records.remove(&print);
    }

    /// Requests that may have to be quarantined, in order; those with the newest crashes where there are many.
    pub fn suspects(&self) -> Vec<RequestPrint> {
        let mut suspects: Vec<(TimePoint, RequestPrint)> = self
            .records
            .iter()
            .filter(|(_, record)| record.strikes() >= SUSPECT_CRASHES)
            .map(|(print, record)| (record.newest(), *print))
            .collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        suspects.truncate(MAX_SUSPECTS);
        let mut prints: Vec<RequestPrint> = suspects.into_iter().map(|(_, print)| print).collect();
        prints.sort_unstable();
        prints
    }

    /// Forgets crashes that count no more; tells whether there were any.
    pub fn prune(&mut self, now: TimePoint) -> bool {
        let before = self.records.len();
        let oldest = age_point(now, EVIDENCE_LASTS);
        self.records.retain(|_, record| record.newest() > oldest);
        self.records.len() < before
    }

    /// Requests that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn ran_whole(&mut self, print: RequestPrint, at: TimePoint) -> bool {
        let record = self.record(print);
        if record.whole_at.is_some_and(|whole| at <= whole) {
            return false;
        }
        let before = record.crashes.len();
        record.whole_at = Some(at);
        record.crashes.retain(|crash| crash.at > at);
        record.crashes.len() < before
    }

    fn record(&mut self, print: RequestPrint) -> &mut PrintRecord {
        if self.records.len() >= MAX_PRINTS && !self.records.contains_key(&print) {
            self.evict();
        }
        self.records.get_or_insert_with(print, PrintRecord::default)
    }

    /// Drops the request with the fewest crashes, the one whose newest is oldest among them.
    fn evict(&mut self) {
        let weight = |record: &PrintRecord| (record.strikes(), record.newest());
        let least = self.records.iter().min_by_key(|(_, record)| weight(record));
        if let Some(print) = least.map(|(print, _)| *print) {
            self.records.remove(&print);
        }
    }
}

/// The moment `age` before `now`, on a clock that is ahead by as long as anything counts: a leader that has just
/// started is told of what happened before its own clock began.
fn age_point(now: TimePoint, age: Duration) -> TimePoint {
    let ahead = EVIDENCE_LASTS.saturating_sub(age);
    now.after(ahead)
}

impl PrintRecord {
    /// Takes a crash; `false` where it is known, or older than a whole run.
    fn crashed(&mut self, sight: CrashSight) -> bool {
        let cleared = self.whole_at.is_some_and(|whole| sight.at <= whole);
        let known = self.crashes.iter().any(|crash| crash.endpoint == sight.endpoint);
        if cleared || known {
            return false;
        }
        let position = self.crashes.partition_point(|crash| crash.at <= sight.at);
        self.crashes.insert(position, sight);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Crashes that are events of their own: far apart, or of a run that began after the one before.
    fn strikes(&self) -> usize {
        let mut counted: Option<TimePoint> = None;
        let mut strikes = 0;
        for crash in &self.crashes {
            let apart = |last| {
                crash.at.since(last) >= CRASHES_APART || crash.began.after(BEGIN_SLACK) >= last
            };
            if counted.is_none_or(apart) {
                counted = Some(crash.at);
                strikes += 1;
            }
        }
        strikes
    }

    fn newest(&self) -> TimePoint {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.max(self.whole_at).unwrap_or_default()
    }
}
