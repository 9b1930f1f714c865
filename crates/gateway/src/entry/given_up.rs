//! Runs that were given up: the caller left, its deadline is over, or another run has delivered.
//!
//! Closing the connection tells an endpoint to stop, but some go on, and a request may crash them
//! later. Only the sending half is therefore closed, which looks the same to the endpoint, and the run is
//! observed until the endpoint ends it or the deadline that it was given is over. Its end is evidence as
//! that of any other run.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::entry::TargetId;
use briartray_http::{Exchange, SendFailure, SendingHalf, UnreadBody};
use briartray_model::TimePoint;
use http::StatusCode;

use super::attempt::SentTo;
use super::crash_check;
use super::dispatch::RequestIdentity;
use super::state::EntryState;

/// Maximum number of runs that are observed at the same time. Each holds a connection.
const MAX_OBSERVED_RUNS: usize = 128;

/// Maximum size of the bodies that observed requests hold, in bytes. A single larger one is held alone.
const MAX_OBSERVED_BYTES: usize = 16 * 1024 * 1024;

/// Longest time for which a run is observed.
const MAX_OBSERVATION: Duration = Duration::from_secs(10);

/// Time after the deadline of an endpoint in which it stops a run.
const STOP_MARGIN: Duration = Duration::from_millis(100);

/// Maximum number of bytes that are read from a run that was given up.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// A request that is being sent, until the response head has arrived.
pub(super) type SendingExchange = Pin<Box<dyn Future<Output = Result<Exchange, SendFailure>>>>;

/// How far sending a request has come.
#[derive(Debug, Default)]
pub(super) struct SendProgress {
    /// The connection's sending half, once the request may have been sent on it.
    sent_on: RefCell<Option<SendingHalf>>,
    given_up: Cell<bool>,
}

impl SendProgress {
    /// Records whether the request may have been sent, and on which connection.
    pub(super) fn set_sent(&self, sent_on: Option<SendingHalf>) {
        self.sent_on.replace(sent_on);
    }

    /// Whether the endpoint may run the request.
    pub(super) fn is_sent(&self) -> bool {
        self.sent_on.borrow().is_some()
    }

    /// Whether the request must not be sent any more.
    pub(super) fn is_given_up(&self) -> bool {
        self.given_up.get()
    }

    fn give_up(&self) {
        self.given_up.set(true);
        if let Some(sent_on) = self.sent_on.borrow().as_ref() {
            sent_on.close();
        }
    }
}

/// What is needed to observe a run after it was given up.
#[derive(Clone)]
pub(super) struct RunWatch {
    pub(super) state: Rc<EntryState>,
    pub(super) identity: Rc<RequestIdentity>,
    pub(super) sent_to: SentTo,
    pub(super) target: TargetId,
    /// When the deadline is over that the endpoint was given.
    pub(super) deadline: TimePoint,
}

/// How an observed run ended.
enum ObservedEnd {
    /// Its response is complete.
    Complete { status: StatusCode },
    /// The endpoint closed the connection before.
    Closed,
    /// The request was not sent after all.
    NotSent,
    /// It is not observed any longer.
    Expired,
}

/// Number of observed runs, and the size of the bodies of their requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ObservedLoad {
    runs: usize,
    bytes: usize,
}

/// Counts an observed run with a body of `bytes` until dropped.
struct ObservedGuard {
    state: Rc<EntryState>,
    bytes: usize,
}

impl ObservedGuard {
    /// Counts the run; `None` if too many are observed.
    fn new(state: &Rc<EntryState>, bytes: usize) -> Option<Self> {
        let ObservedLoad { runs, bytes: held } = state.observed.get();
        let has_room = runs == 0 || held + bytes <= MAX_OBSERVED_BYTES;
        if runs >= MAX_OBSERVED_RUNS || !has_room {
            return None;
        }
        state.observed.set(ObservedLoad { runs: runs + 1, bytes: held + bytes });
        Some(Self { state: Rc::clone(state), bytes })
    }
}

impl Drop for ObservedGuard {
    fn drop(&mut self) {
        let ObservedLoad { runs, bytes } = self.state.observed.get();
        self.state.observed.set(ObservedLoad { runs: runs - 1, bytes: bytes - self.bytes });
    }
}

impl RunWatch {
    /// Observes a run whose response head has not arrived.
    pub(super) fn observe_sending(self, sending: SendingExchange, progress: Rc<SendProgress>) {
        if !progress.is_sent() {
            return;
        }
        progress.give_up();
        self.observe(async move {
            let exchange = match sending.await {
                Ok(exchange) => exchange,
                Err(SendFailure::Broken) => return ObservedEnd::Closed,
                Err(SendFailure::NotConnected | SendFailure::NotSent) => {
                    return ObservedEnd::NotSent;
                }
            };
            let (status, framed) = (exchange.head.status, exchange.is_framed());
            match exchange.into_unread() {
                Some(unread) => end_of(unread, status, framed).await,
                None => ObservedEnd::NotSent,
            }
        });
    }

    /// Observes a run whose response was read in part.
    pub(super) fn observe_reading(self, unread: UnreadBody, status: StatusCode, framed: bool) {
        unread.stop_sending();
        self.observe(end_of(unread, status, framed));
    }

    /// Observes the end of a run in a task of its own.
    fn observe(self, end: impl Future<Output = ObservedEnd> + 'static) {
        let state = Rc::clone(&self.state);
        if state.table.borrow().holds().is_leaving(&self.sent_to.endpoint) {
            return;
        }
        let Some(guard) = ObservedGuard::new(&state, self.identity.body_bytes()) else {
            return state.metrics.count_given_up("unobserved");
        };
        let left = self.deadline.after(STOP_MARGIN).since(state.now()).min(MAX_OBSERVATION);
        tokio::task::spawn_local(async move {
            let end = tokio::time::timeout(left, end).await.unwrap_or(ObservedEnd::Expired);
            drop(guard);
            self.record_end(&end);
        });
    }

    fn record_end(&self, end: &ObservedEnd) {
        let outcome = match end {
            ObservedEnd::Complete { status } => {
                self.identity.record_complete_run(&self.state, *status);
                "complete"
            }
            ObservedEnd::Closed => {
                crash_check::check_given_up(self);
                "closed"
            }
            ObservedEnd::NotSent => "not_sent",
            ObservedEnd::Expired => "expired",
        };
        self.state.metrics.count_given_up(outcome);
    }
}

/// Waits for the end of a response that nobody reads. One that is not framed ends with its connection, as
/// a crash does.
async fn end_of(unread: UnreadBody, status: StatusCode, framed: bool) -> ObservedEnd {
    match unread.discard(MAX_DISCARDED_BYTES).await {
        Ok(true) if framed => ObservedEnd::Complete { status },
        Ok(true) | Err(_) => ObservedEnd::Closed,
        Ok(false) => ObservedEnd::Expired,
    }
}
