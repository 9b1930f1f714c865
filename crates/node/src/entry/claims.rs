//! The entry's client of the ledger of claims.
//!
//! One stream carries many calls at once, and answers are matched to calls by number. Ledger
//! requests are idempotent: a claim by the same attempt, a completion and a release change nothing
//! the second time. A call without an answer is therefore sent again, to the next control host.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use briartray_link::{CallKind, LinkClient, LinkError, LinkReader, LinkWriter};
use briartray_model::SortedTable;
use briartray_model::message::{LedgerAnswer, LedgerCall, LedgerReply, LedgerRequest};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, Sender, bounded};

/// Maximum number of calls in flight; further calls are treated as unanswered and retried.
const MAX_IN_FLIGHT: usize = 4096;

/// Timeout for an answer, after which the call is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay before the next control host is tried.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which a reader checks whether its stream is still in use.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends requests to the ledger; can be used from any thread.
#[derive(Debug, Clone)]
pub(super) struct ClaimClient {
    shared: Arc<ClaimShared>,
}

#[derive(Debug)]
struct ClaimShared {
    link: LinkClient,
    peers: Vec<SocketAddr>,
    next_number: AtomicU64,
    waiting: Mutex<SortedTable<u64, WaitingCall>>,
    stream: Mutex<ClaimStream>,
}

/// A call that waits for its answer; dropping it ends the wait.
#[derive(Debug)]
struct WaitingCall {
    generation: u64,
    answer: Sender<LedgerReply>,
}

/// The stream in use; each failure moves on to the next peer.
#[derive(Debug, Default)]
struct ClaimStream {
    peer: usize,
    generation: u64,
    writer: Option<LinkWriter>,
    connected_after: Option<Instant>,
}

impl ClaimClient {
    /// Creates a client, which connects on its first request.
    pub(super) fn start(link: LinkClient, peers: Vec<SocketAddr>) -> std::io::Result<Self> {
        let shared = ClaimShared {
            link,
            peers,
            next_number: AtomicU64::new(1),
            waiting: Mutex::default(),
            stream: Mutex::default(),
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Sends `request` until an answer arrives; `Unavailable` when none arrives within `limit`.
    pub(super) fn submit(&self, request: &LedgerRequest, limit: Duration) -> LedgerReply {
        let started = Instant::now();
        loop {
            let left = limit.saturating_sub(started.elapsed());
            if left.is_zero() {
                return LedgerReply::Unavailable;
            }
            let generation = match self.submit_once(request, left.min(ANSWER_TIMEOUT)) {
                Ok(LedgerReply::Unavailable) => self.shared.stream().generation,
                Ok(reply) => return reply,
                Err(generation) => generation,
            };
            self.shared.abandon_stream(generation);
            std::thread::sleep(PEER_RETRY_DELAY.min(left));
        }
    }

    /// Sends `request` once.
    ///
    /// # Errors
    /// The generation of the stream on which no answer arrived.
    fn submit_once(&self, request: &LedgerRequest, wait: Duration) -> Result<LedgerReply, u64> {
        let number = self.shared.next_number.fetch_add(1, Ordering::Relaxed);
        let (answer, answers): (_, Receiver<LedgerReply>) = bounded(1);
        let (writer, generation) = self.writer();
        {
            let mut waiting = self.shared.waiting();
            if waiting.len() >= MAX_IN_FLIGHT {
                return Ok(LedgerReply::Unavailable);
            }
            waiting.insert(number, WaitingCall { generation, answer });
        }
        let call = LedgerCall { number, request: request.clone() };
        let sent = writer.is_some_and(|writer| writer.send(&call).is_ok());
        let reply = if sent { answers.recv_timeout(wait).ok() } else { None };
        self.shared.waiting().remove(&number);
        reply.ok_or(generation)
    }

    /// The stream in use and its generation; opens a stream when there is none.
    fn writer(&self) -> (Option<LinkWriter>, u64) {
        let mut stream = self.shared.stream();
        if stream.writer.is_none() && !self.shared.peers.is_empty() {
            let peer = self.shared.peers[stream.peer % self.shared.peers.len()];
            let (writer, reader) = match stream.connected_after {
                Some(connected_after) => {
                    self.shared.link.open_since(peer, CallKind::Ledger, connected_after)
                }
                None => self.shared.link.open(peer, CallKind::Ledger),
            };
            stream.generation += 1;
            let (shared, generation) = (Arc::clone(&self.shared), stream.generation);
            let read = move || shared.read_answers(&reader, generation);
            match spawn_worker("ledger", WORKER_STACK_BYTES, read) {
                Ok(_) => stream.writer = Some(writer),
                Err(error) => {
                    log::error!("cannot start the ledger thread: {error}; raise the thread limit")
                }
            }
        }
        (stream.writer.clone(), stream.generation)
    }
}

impl ClaimShared {
    fn stream(&self) -> MutexGuard<'_, ClaimStream> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, SortedTable<u64, WaitingCall>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Abandons the stream of `generation` and selects the next control host, unless that stream is
    /// no longer in use.
    fn abandon_stream(&self, generation: u64) {
        let mut stream = self.stream();
        if stream.generation == generation && stream.writer.is_some() {
            stream.writer = None;
            stream.peer += 1;
            stream.connected_after = Instant::now().checked_sub(ANSWER_TIMEOUT / 2);
        }
    }

    fn read_answers(&self, reader: &LinkReader, generation: u64) {
        loop {
            match reader.receive::<LedgerAnswer>(READ_TIMEOUT) {
                Ok(answer) => {
                    // An answer without a waiter belongs to a call that was sent again or given up.
                    if let Some(waiter) = self.waiting().remove(&answer.number) {
                        let _ = waiter.answer.send(answer.reply);
                    }
                }
                Err(LinkError::TimedOut) if self.stream().generation == generation => {}
                Err(LinkError::TimedOut) => return,
                Err(error) => {
                    log::debug!("a ledger stream ended: {error}");
                    self.abandon_stream(generation);
                    // Dropping the calls makes their waiters try the next control host at once.
                    self.waiting().retain(|_, call| call.generation != generation);
                    return;
                }
            }
        }
    }
}
