//! Beats and reports that control hosts pass on for the leader.
//!
//! A connection to each endpoint, a beat a second of it and a report a second of each member of a group
//! are more than one host can bear before thousands of endpoints: a leader that had no time to read beats
//! took endpoints for lost, asked more of them, and did not come back by itself. So each control host takes
//! the beats of the endpoints that found it, and asks some of them for reports when the leader wants that.
//! It passes on what it hears in batches and decides nothing: one that is lost, cut off or frozen costs some
//! beats, whose endpoints the leader asks itself or through another one, and no order ever comes from it.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use briartray_fleet::director::{EndpointHeartbeat, ProbeCall};
use briartray_model::names::{IncarnationId, NodeName};
use briartray_model::{SortedTable, TimePoint};

use super::calls::EndpointCall;
use super::core::ControlCore;
use super::input::{ControlReply, CoreMessage, ReplySender};
use super::relay_buffer::RelayBuffer;

/// Beats or answers in one message.
const BATCH: usize = 64;

/// Endpoints up to which the leader asks for all reports by itself: one way less, and less to go wrong.
const ASKED_ALONE: usize = 128;

/// Time without a greeting after which a control host is asked for no reports: greetings come every 0.4 s.
const RELAY_SILENT: Duration = Duration::from_millis(1_000);

impl ControlCore {
    /// Takes a beat for the leader. An endpoint that leaves is sent on: its notice counts only when a
    /// majority holds it.
    pub(super) fn relay_beat(
        &mut self,
        now: TimePoint,
        heartbeat: EndpointHeartbeat,
        reply: ReplySender,
    ) {
        if heartbeat.leaving || self.leader().is_none() {
            return self.redirect(reply);
        }
        self.relay.hold_beat(now, heartbeat);
        let _ = reply.send(ControlReply::Done);
    }

    /// Asks endpoints for reports that `asker`, who leads, wants.
    pub(super) fn ask_for(&mut self, asker: &NodeName, probes: Vec<ProbeCall>) {
        for call in probes {
            let asker = Some(asker.clone());
            let _ = self.parts.calls.send(EndpointCall::Probe { call, asker });
        }
    }

    /// Asks for reports that the director wants: by this host, or a part by each control host that is
    /// there. Urgent ones are asked for here.
    pub(super) fn ask_reports(&mut self, now: TimePoint, probes: Vec<ProbeCall>) {
        let relays = match self.state.endpoints().len() > ASKED_ALONE {
            true => self.hosts.live(now, RELAY_SILENT),
            false => Vec::new(),
        };
        let mut shared: SortedTable<NodeName, Vec<ProbeCall>> = SortedTable::new();
        for call in probes {
            match asker_of(&call.id, &relays).filter(|_| !call.urgent) {
                Some(relay) => shared.get_or_insert_with(relay.clone(), Vec::new).push(call),
                None => {
                    let _ = self.parts.calls.send(EndpointCall::Probe { call, asker: None });
                }
            }
        }
        let asker = self.parts.settings.node_name();
        for (relay, probes) in shared.iter() {
            let (asker, probes) = (asker.clone(), probes.clone());
            self.parts.peers.send(relay, CoreMessage::Ask { asker, probes });
        }
    }

    /// Passes on what was gathered.
    pub(super) fn flush_relay(&mut self, now: TimePoint) {
        if self.relay.flush_at.is_none_or(|at| now < at) {
            return;
        }
        let RelayBuffer { beats, answers, .. } = std::mem::take(&mut self.relay);
        if let Some(leader) = self.leader() {
            self.parts.metrics.relayed_beats.inc_by(beats.len() as u64);
            for batch in beats.chunks(BATCH) {
                self.parts.peers.send(&leader, CoreMessage::Beats(batch.to_vec()));
            }
        }
        for (asker, answers) in answers.iter() {
            self.parts.metrics.relayed_answers.inc_by(answers.len() as u64);
            for batch in answers.chunks(BATCH) {
                self.parts.peers.send(asker, CoreMessage::Told(batch.to_vec()));
            }
        }
    }
}

/// The host of `relays` that asks `id` for reports, always the same one while they are the same: each keeps
/// a connection to the endpoints that it asks. `None` stands for the leader, which takes its part.
fn asker_of<'r>(id: &IncarnationId, relays: &'r [NodeName]) -> Option<&'r NodeName> {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let parts = relays.len() as u64 + 1;
    relays.get(usize::try_from(hasher.finish() % parts).unwrap_or(0))
}
