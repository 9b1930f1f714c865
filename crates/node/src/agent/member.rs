//! Leases between agents: the first host asks, the member answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use briartray_link::{CallKind, LinkClient, LinkError, LinkReader, LinkStream, LinkWriter};
use briartray_model::message::{GroupAssignment, GroupMember, MemberReply, MemberRequest};
use briartray_model::names::LeaseNonce;
use briartray_placement::lease::{LEASE_DURATION, RENEW_INTERVAL};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::Sender;

use super::core::{AgentInput, LeaseAsked};
use crate::ClockReader;

/// How long one answer is waited for. A path that went silent must be replaced and the lease be
/// renewed over a new one before the lease that is held runs out.
const ANSWER_WAIT: Duration = Duration::from_millis(LEASE_DURATION.as_millis() as u64 / 4);

/// Age of a connection up to which it counts as new after an answer did not come.
const FRESH_CONNECTION: Duration = Duration::from_millis(ANSWER_WAIT.as_millis() as u64 / 2);

/// How long a served stream may stay quiet before it is looked at again.
const READ_WAIT: Duration = Duration::from_secs(60);

/// Passes requests for this host's promise to the control thread.
pub(super) fn serve(stream: &LinkStream, inputs: &Sender<AgentInput>) {
    loop {
        match stream.reader.receive(READ_WAIT) {
            Ok(request) => {
                let ask = AgentInput::MemberAsk { request, writer: stream.writer.clone() };
                if inputs.send(ask).is_err() {
                    return;
                }
            }
            Err(LinkError::TimedOut) => {}
            Err(_) => return,
        }
    }
}

/// Renews the lease of one member until told to stop.
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
    /// Starts the renewals on a thread of their own.
    pub(super) fn start(self) -> std::io::Result<()> {
        spawn_worker("lease", WORKER_STACK_BYTES, move || self.run()).map(drop)
    }

    fn run(self) {
        let mut nonce = LeaseNonce::default();
        let mut stream: Option<(LinkWriter, LinkReader)> = None;
        let mut missed = 0_u32;
        while self.renewing.load(Ordering::Relaxed) {
            nonce = nonce.next();
            let open = stream.take().unwrap_or_else(|| self.open(missed > 0));
            let sent = self.clock.now();
            let reply = self.ask(&open, nonce);
            if reply.is_some() {
                missed = 0;
                stream = Some(open);
            } else {
                missed += 1;
            }
            let lease = LeaseAsked {
                assignment: Arc::clone(&self.assignment),
                member: self.member.host.clone(),
                sent,
            };
            if self.inputs.send(AgentInput::LeaseAnswer { lease, reply }).is_err() {
                return;
            }
            // After the first miss there is no time to lose; a member that is down is not pressed.
            if missed != 1 {
                std::thread::sleep(RENEW_INTERVAL);
            }
        }
    }

    fn open(&self, after_miss: bool) -> (LinkWriter, LinkReader) {
        let (address, kind) = (self.member.link, CallKind::Member);
        match Instant::now().checked_sub(FRESH_CONNECTION).filter(|_| after_miss) {
            Some(since) => self.client.open_since(address, kind, since),
            None => self.client.open(address, kind),
        }
    }

    /// Asks once; `None` when no answer to this very request came.
    fn ask(&self, stream: &(LinkWriter, LinkReader), nonce: LeaseNonce) -> Option<MemberReply> {
        let (writer, reader) = stream;
        let request = MemberRequest::Lease {
            group: self.assignment.group,
            fencing: self.assignment.fencing,
            nonce,
        };
        writer.send(&request).ok()?;
        let reply: MemberReply = reader.receive(ANSWER_WAIT).ok()?;
        let answered = match &reply {
            MemberReply::Granted { nonce, .. } | MemberReply::Refused { nonce, .. } => *nonce,
        };
        (answered == nonce).then_some(reply)
    }
}
