//! What a leader does about requests that crash endpoints.

use std::time::Duration;

use briartray_model::message::{PrintView, RunEvent, ViewVersion};
use briartray_model::names::{RequestPrint, TermNumber};
use briartray_model::{SortedTable, TimePoint};

use super::{CrashBook, QuarantineList, QuarantineRecord};

/// Time after which a request in quarantine is tried again: what runs it may have been replaced by then. A new
/// leader counts anew.
const QUARANTINE_LASTS: Duration = Duration::from_secs(3_600);

/// The crashes that a leader knows of, and what entries are told.
#[derive(Debug, Clone)]
pub struct QuarantineTracker {
    crashes: CrashBook,
    view: PrintView,
    /// The view may have changed.
    due: bool,
    /// Since when requests are in quarantine, as far as this leader knows.
    since: SortedTable<RequestPrint, TimePoint>,
}

impl Default for QuarantineTracker {
    fn default() -> Self {
        Self {
            crashes: CrashBook::default(),
            view: PrintView::default(),
            due: true,
            since: SortedTable::new(),
        }
    }
}

impl QuarantineTracker {
    /// Takes a run that an entry reports.
    pub fn take(&mut self, now: TimePoint, event: &RunEvent, list: &QuarantineList) {
        if !list.holds(event.print) {
            self.due |= self.crashes.take(now, event);
        }
    }

    /// Requests to put into quarantine now, each once.
    pub fn take_fatal(&mut self) -> Vec<QuarantineRecord> {
        self.crashes.take_fatal()
    }

    /// The command about `print` was lost: it is given again.
    pub fn lost(&mut self, print: RequestPrint) {
        self.crashes.lost(print);
    }

    /// `print` is in quarantine now.
    pub fn added(&mut self, print: RequestPrint) {
        self.crashes.forget(print);
        self.due = true;
    }

    /// `print` was let out.
    pub fn lifted(&mut self, now: TimePoint, print: RequestPrint) {
        self.crashes.clear(now, print);
        self.due = true;
    }

    /// Forgets crashes that count no more; names requests that have been in quarantine for long.
    pub fn keep(&mut self, now: TimePoint, list: &QuarantineList) -> Vec<RequestPrint> {
        self.due |= self.crashes.prune(now);
        self.since.retain(|print, _| list.holds(*print));
        let mut over = Vec::new();
        for record in list.records() {
            let since = self.since.get_or_insert_with(record.print, || now);
            if now.since(*since) >= QUARANTINE_LASTS {
                // A lift that is lost is made again after the same time.
                *since = now;
                over.push(record.print);
            }
        }
        over
    }

    /// Whether entries may have to be told of another view.
    pub fn is_view_stale(&self) -> bool {
        self.due
    }

    /// Brings the view up to date in the leader's `term`.
    pub fn refresh(&mut self, term: TermNumber, list: &QuarantineList) -> &PrintView {
        if std::mem::take(&mut self.due) {
            let (quarantined, suspects) = (list.prints(), self.crashes.suspects());
            let known = &self.view;
            let same = known.quarantined == quarantined && known.suspects == suspects;
            if !same || known.version.term != term {
                let version = ViewVersion { term, number: known.version.number + 1 };
                self.view = PrintView { version, quarantined, suspects };
            }
        }
        &self.view
    }

    /// The newest view.
    pub fn view(&self) -> &PrintView {
        &self.view
    }
}
