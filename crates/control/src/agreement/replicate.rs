//! Sending entries, snapshots and heartbeats to followers.

use briartray_model::TimePoint;
use briartray_model::names::{LogIndex, NodeName};

use super::core::{AgreementCore, RoleState};
use super::log::entry_bytes;
use super::{AppendCall, InstallCall, LogEntry, PeerBody};

/// Maximum size of the entries in one message, in bytes; a larger single entry is sent alone.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Maximum size of a snapshot chunk, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

impl AgreementCore {
    /// Sends missing entries and due heartbeats to all followers.
    pub(super) fn replicate(&mut self, now: TimePoint) {
        let RoleState::Leading(state) = &mut self.role else { return };
        let reads_wait = state.reads.back().is_some_and(|read| read.round > state.round);
        if reads_wait || state.heartbeat_due {
            state.round += 1;
        }
        let heartbeat = reads_wait || std::mem::take(&mut state.heartbeat_due);
        for node in self.peers() {
            self.replicate_to(now, &node, heartbeat);
        }
    }

    fn replicate_to(&mut self, now: TimePoint, node: &NodeName, heartbeat: bool) {
        let resend_after = self.times.heartbeat * 2;
        let (last, base) = (self.log.last_index(), self.log.base());
        let RoleState::Leading(state) = &mut self.role else { return };
        let Some(peer) = state.peers.get_mut(node) else { return };
        // Assume that the message or its reply was lost, and send again.
        if peer.awaiting_since.is_some_and(|at| now.since(at) >= resend_after) {
            peer.awaiting_since = None;
        }
        if peer.next <= base {
            let due = peer.awaiting_since.is_none();
            if due || heartbeat {
                self.send_snapshot_chunk(now, node, due);
            }
            return;
        }
        let mut sent = false;
        while let Some(next) = self.next_entries(node).filter(|next| *next <= last) {
            let entries = self.log.slice(next, MAX_BATCH_BYTES);
            self.send_append(now, node, entries);
            sent = true;
        }
        if heartbeat && !sent {
            self.send_append(now, node, Vec::new());
        }
    }

    /// Index of the next entry to send to `node`, if flow control allows sending.
    fn next_entries(&self, node: &NodeName) -> Option<LogIndex> {
        let RoleState::Leading(state) = &self.role else { return None };
        state.peers.get(node).filter(|peer| peer.can_send()).map(|peer| peer.next)
    }

    fn send_append(&mut self, now: TimePoint, node: &NodeName, entries: Vec<LogEntry>) {
        let commit = self.commit;
        let RoleState::Leading(state) = &mut self.role else { return };
        let round = state.round;
        let Some(peer) = state.peers.get_mut(node) else { return };
        let prev_index = LogIndex(peer.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev_index) else { return };
        if let Some(last) = entries.last() {
            peer.awaiting_since = Some(now);
            if peer.pipelined {
                let bytes = entries.iter().map(entry_bytes).sum();
                peer.next = last.index.next();
                peer.in_flight.push_back((last.index, bytes));
                peer.in_flight_bytes += bytes;
            }
        }
        let call = AppendCall { prev_index, prev_term, entries, commit, round };
        self.send(node.clone(), PeerBody::Append(call));
    }

    /// Sends the next snapshot chunk, or an empty chunk as a heartbeat.
    fn send_snapshot_chunk(&mut self, now: TimePoint, node: &NodeName, with_data: bool) {
        let Some(snapshot) = &self.snapshot else { return };
        let RoleState::Leading(state) = &mut self.role else { return };
        let round = state.round;
        let Some(peer) = state.peers.get_mut(node) else { return };
        let total = snapshot.data.len();
        let offset = *peer.snapshot_offset.get_or_insert(0);
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = if with_data { (start + SNAPSHOT_CHUNK_BYTES).min(total) } else { start };
        if with_data {
            peer.awaiting_since = Some(now);
        }
        let call = InstallCall {
            meta: snapshot.meta.clone(),
            offset,
            total: total as u64,
            data: snapshot.data[start..end].to_vec(),
            round,
        };
        self.send(node.clone(), PeerBody::Install(call));
    }
}
