//! The entry's stream to the ledger of claims: many calls in flight, answers matched by number.
//!
//! Every request is safe to send again: a claim by the same attempt, a completion and a release
//! change nothing the second time. So an answer that does not come is asked for again, at another
//! control host if need be.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use briartray_link::{CallKind, LinkClient, LinkError, LinkReader, LinkWriter};
use briartray_model::SortedTable;
use briartray_model::message::{LedgerAnswer, LedgerCall, LedgerReply, LedgerRequest};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, Sender, bounded};

/// Calls in flight at most; more are refused as though no control host answered.
const MAX_IN_FLIGHT: usize = 4096;

/// How long one answer is waited for before the call is sent again.
const ANSWER_WAIT: Duration = Duration::from_millis(1000);

/// Wait before the next control host is tried.
const NEXT_PEER_WAIT: Duration = Duration::from_millis(50);

/// How long the reader waits before it looks whether its stream is still the one in use.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Asks the ledger from any thread.
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

/// A call that waits for its answer; dropped when its stream ends.
#[derive(Debug)]
struct WaitingCall {
    generation: u64,
    answer: Sender<LedgerReply>,
}

/// The stream in use; the peer is the next one after a failure.
#[derive(Debug, Default)]
struct ClaimStream {
    peer: usize,
    generation: u64,
    writer: Option<LinkWriter>,
    since: Option<Instant>,
}

impl ClaimClient {
    /// A client that connects when it is first asked.
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

    /// Asks until an answer comes or `limit` has passed; `Unavailable` when none came.
    pub(super) fn ask(&self, request: &LedgerRequest, limit: Duration) -> LedgerReply {
        let started = Instant::now();
        loop {
            let left = limit.saturating_sub(started.elapsed());
            if left.is_zero() {
                return LedgerReply::Unavailable;
            }
            let generation = match self.ask_once(request, left.min(ANSWER_WAIT)) {
                Ok(LedgerReply::Unavailable) => self.shared.stream().generation,
                Ok(reply) => return reply,
                Err(generation) => generation,
            };
            self.shared.turn_away(generation);
            std::thread::sleep(NEXT_PEER_WAIT.min(left));
        }
    }

    /// Asks once; the generation of the stream that brought no answer otherwise.
    fn ask_once(&self, request: &LedgerRequest, wait: Duration) -> Result<LedgerReply, u64> {
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

    /// The stream in use, opened when there is none.
    fn writer(&self) -> (Option<LinkWriter>, u64) {
        let mut stream = self.shared.stream();
        if stream.writer.is_none() && !self.shared.peers.is_empty() {
            let peer = self.shared.peers[stream.peer % self.shared.peers.len()];
            let (writer, reader) = match stream.since {
                Some(since) => self.shared.link.open_since(peer, CallKind::Ledger, since),
                None => self.shared.link.open(peer, CallKind::Ledger),
            };
            stream.generation += 1;
            let (shared, generation) = (Arc::clone(&self.shared), stream.generation);
            let read = move || shared.read_answers(&reader, generation);
            match spawn_worker("ledger", WORKER_STACK_BYTES, read) {
                Ok(_) => stream.writer = Some(writer),
                Err(error) => log::error!("cannot ask the ledger: {error}; raise the thread limit"),
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

    /// Leaves the stream of `generation` for the next control host, unless that was done before.
    fn turn_away(&self, generation: u64) {
        let mut stream = self.stream();
        if stream.generation == generation && stream.writer.is_some() {
            stream.writer = None;
            stream.peer += 1;
            stream.since = Instant::now().checked_sub(ANSWER_WAIT / 2);
        }
    }

    fn read_answers(&self, reader: &LinkReader, generation: u64) {
        loop {
            match reader.receive::<LedgerAnswer>(READ_WAIT) {
                Ok(answer) => {
                    // An answer that nobody waits for any more was asked for again meanwhile.
                    if let Some(waiter) = self.waiting().remove(&answer.number) {
                        let _ = waiter.answer.send(answer.reply);
                    }
                }
                Err(LinkError::TimedOut) if self.stream().generation == generation => {}
                Err(LinkError::TimedOut) => return,
                Err(error) => {
                    log::debug!("a ledger stream ended: {error}");
                    self.turn_away(generation);
                    // Whoever waits asks the next control host at once.
                    self.waiting().retain(|_, call| call.generation != generation);
                    return;
                }
            }
        }
    }
}
