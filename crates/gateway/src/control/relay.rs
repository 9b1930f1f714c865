//! Relaying of heartbeats and probe answers between control hosts and the leader.
//!
//! A single host cannot handle a connection, a heartbeat per second and, for group members, a
//! report per second for each of thousands of endpoints. A leader that had no time to read
//! heartbeats counted endpoints as lost, probed more of them, and did not recover. Therefore each
//! control host receives the heartbeats of the endpoints that connect to it, and probes some
//! endpoints on behalf of the leader.
//!
//! A relay forwards what it receives in batches and makes no decisions. If it is lost, cut off or
//! frozen, some heartbeats are lost; the leader then probes these endpoints itself or through
//! another host. Relays never send orders.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use briartray_fleet::director::{EndpointHeartbeat, ProbeCall};
use briartray_model::names::{IncarnationId, NodeName};
use briartray_model::{SortedTable, TimePoint};

use super::core::ControlCore;
use super::endpoint_client::EndpointCall;
use super::input::{ControlReply, CoreMessage, ReplySender};
use super::relay_buffer::RelayBuffer;

/// Maximum number of heartbeats or probe answers in one message.
const BATCH_SIZE: usize = 64;

/// Number of endpoints up to which the leader sends all probes itself, which saves a network hop
/// and a point of failure.
const MAX_ENDPOINTS_PROBED_ALONE: usize = 128;

/// Time without a hello after which a control host is given no probes; hellos are sent every 0.4 s.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

impl ControlCore {
    /// Accepts a heartbeat on behalf of the leader. A leaving endpoint is redirected instead, since
    /// its notice counts only after a majority stored it.
    pub(super) fn relay_heartbeat(
        &mut self,
        now: TimePoint,
        heartbeat: EndpointHeartbeat,
        reply: ReplySender,
    ) {
        if heartbeat.leaving || self.leader().is_none() {
            return self.redirect(reply);
        }
        self.relay_buffer.buffer_heartbeat(now, heartbeat);
        let _ = reply.send(ControlReply::Done);
    }

    /// Probes endpoints on behalf of the leader `requester`.
    pub(super) fn probe_for(&mut self, requester: &NodeName, probes: Vec<ProbeCall>) {
        for call in probes {
            let requester = Some(requester.clone());
            let _ = self.parts.calls.send(EndpointCall::Probe { call, requester });
        }
    }

    /// Sends the director's probes. In large deployments they are split between this host and the
    /// other live control hosts; urgent probes are always sent from here.
    pub(super) fn send_probes(&mut self, now: TimePoint, probes: Vec<ProbeCall>) {
        let relays = match self.state.endpoints().len() > MAX_ENDPOINTS_PROBED_ALONE {
            true => self.host_book.live_hosts(now, RELAY_TIMEOUT),
            false => Vec::new(),
        };
        let mut shared: SortedTable<NodeName, Vec<ProbeCall>> = SortedTable::new();
        for call in probes {
            match probing_host(&call.id, &relays).filter(|_| !call.urgent) {
                Some(relay) => shared.get_or_insert_with(relay.clone(), Vec::new).push(call),
                None => {
                    let _ = self.parts.calls.send(EndpointCall::Probe { call, requester: None });
                }
            }
        }
        let asker = self.parts.settings.node_name();
        for (relay, probes) in shared.iter() {
            let (asker, probes) = (asker.clone(), probes.clone());
            self.parts.peers.send(relay, CoreMessage::Ask { asker, probes });
        }
    }

    /// Sends the buffered heartbeats and probe answers if they are due.
    pub(super) fn flush_relay(&mut self, now: TimePoint) {
        if self.relay_buffer.flush_at.is_none_or(|at| now < at) {
            return;
        }
        let RelayBuffer { heartbeats, answers, .. } = std::mem::take(&mut self.relay_buffer);
        if let Some(leader) = self.leader() {
            self.parts.metrics.relayed_heartbeats.inc_by(heartbeats.len() as u64);
            for batch in heartbeats.chunks(BATCH_SIZE) {
                self.parts.peers.send(&leader, CoreMessage::Beats(batch.to_vec()));
            }
        }
        for (requester, answers) in answers.iter() {
            self.parts.metrics.relayed_answers.inc_by(answers.len() as u64);
            for batch in answers.chunks(BATCH_SIZE) {
                self.parts.peers.send(requester, CoreMessage::Told(batch.to_vec()));
            }
        }
    }
}

/// The host among `relays` that probes `id`, or `None` for the leader itself. The choice is stable
/// while the relays are the same, so that each host can reuse its connections to the endpoints it
/// probes.
fn probing_host<'r>(id: &IncarnationId, relays: &'r [NodeName]) -> Option<&'r NodeName> {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let parts = relays.len() as u64 + 1;
    relays.get(usize::try_from(hasher.finish() % parts).unwrap_or(0))
}
