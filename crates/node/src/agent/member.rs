//! Leases between the agents of a group: the first host requests them, the members grant them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use briartray_link::{CallKind, LinkClient, LinkError, LinkReader, LinkStream, LinkWriter};
use briartray_model::message::{GroupAssignment, GroupMember, MemberReply, MemberRequest};
use briartray_model::names::LeaseNonce;
use briartray_placement::lease::{LEASE_DURATION, RENEW_INTERVAL};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::Sender;

use super::core::{AgentInput, LeaseRenewal};
use crate::ClockReader;

/// Timeout of one answer.
///
/// After a connection has failed silently, there must be time to open a new one and renew over it
/// before the current lease expires.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(LEASE_DURATION.as_millis() as u64 / 4);

/// Maximum age of a connection that may be reused after a missed answer.
const MAX_REUSED_CONNECTION_AGE: Duration =
    Duration::from_millis(ANSWER_TIMEOUT.as_millis() as u64 / 2);

/// Timeout of one read from a served stream, after which the read is repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Forwards requests for this host's lease to the control thread.
pub(super) fn serve(stream: &LinkStream, inputs: &Sender<AgentInput>) {
    loop {
        match stream.reader.receive(READ_TIMEOUT) {
            Ok(request) => {
                let input = AgentInput::LeaseRequested { request, writer: stream.writer.clone() };
                if inputs.send(input).is_err() {
                    return;
                }
            }
            Err(LinkError::TimedOut) => {}
            Err(_) => return,
        }
    }
}

/// Renews the lease of one member until `renewing` is cleared.
#[derive(Debug)]
pub(super) struct RenewalTask {
    pub(super) client: LinkClient,
    pub(super) clock: ClockReader,
    pub(super) assignment: Arc<GroupAssignment>,
    pub(super) member: GroupMember,
    pub(super) renewing: Arc<AtomicBool>,
    pub(super) inputs: Sender<AgentInput>,
}

impl RenewalTask {
    /// Starts renewing on a new thread.
    pub(super) fn start(self) -> std::io::Result<()> {
        spawn_worker("lease", WORKER_STACK_BYTES, move || self.run()).map(drop)
    }

    fn run(self) {
        let mut nonce = LeaseNonce::default();
        let mut stream: Option<(LinkWriter, LinkReader)> = None;
        let mut missed_answers = 0_u32;
        while self.renewing.load(Ordering::Relaxed) {
            nonce = nonce.next();
            let open = stream.take().unwrap_or_else(|| self.open(missed_answers > 0));
            let sent_at = self.clock.now();
            let reply = self.request_lease(&open, nonce);
            if reply.is_some() {
                missed_answers = 0;
                stream = Some(open);
            } else {
                missed_answers += 1;
            }
            let renewal = LeaseRenewal {
                assignment: Arc::clone(&self.assignment),
                member: self.member.host.clone(),
                sent_at,
            };
            if self.inputs.send(AgentInput::RenewalAnswered { renewal, reply }).is_err() {
                return;
            }
            // Retries at once after the first missed answer, since the lease expires soon; after
            // more of them the member is probably down and is retried at the usual interval.
            if missed_answers != 1 {
                std::thread::sleep(RENEW_INTERVAL);
            }
        }
    }

    fn open(&self, after_miss: bool) -> (LinkWriter, LinkReader) {
        let (address, kind) = (self.member.link, CallKind::Member);
        match Instant::now().checked_sub(MAX_REUSED_CONNECTION_AGE).filter(|_| after_miss) {
            Some(since) => self.client.open_since(address, kind, since),
            None => self.client.open(address, kind),
        }
    }

    /// Sends one request; `None` when no answer to it arrived in time.
    fn request_lease(
        &self,
        stream: &(LinkWriter, LinkReader),
        nonce: LeaseNonce,
    ) -> Option<MemberReply> {
        let (writer, reader) = stream;
        let request = MemberRequest::Lease {
            group: self.assignment.group,
            fencing: self.assignment.fencing,
            nonce,
        };
        writer.send(&request).ok()?;
        let reply: MemberReply = reader.receive(ANSWER_TIMEOUT).ok()?;
        let answered_nonce = match &reply {
            MemberReply::Granted { nonce, .. } | MemberReply::Refused { nonce, .. } => *nonce,
        };
        (answered_nonce == nonce).then_some(reply)
    }
}
