//! Sending entries, snapshots and heartbeats to the other hosts.

use briartray_model::TimePoint;
use briartray_model::names::{LogIndex, NodeName};

use super::core::{AgreementCore, RoleState};
use super::log::entry_bytes;
use super::{AppendCall, InstallCall, LogEntry, PeerBody};

/// Bytes of entries in one message, unless a single entry is larger.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Bytes of a snapshot in one message.
const PIECE_BYTES: usize = 256 * 1024;

impl AgreementCore {
    /// Sends what the other hosts lack, and heartbeats that are due.
    pub(super) fn replicate(&mut self, now: TimePoint) {
        let RoleState::Leading(lead) = &mut self.role else { return };
        let reads_wait = lead.reads.back().is_some_and(|read| read.round > lead.round);
        if reads_wait || lead.beat_due {
            lead.round += 1;
        }
        let beat = reads_wait || std::mem::take(&mut lead.beat_due);
        for node in self.peers() {
            self.replicate_to(now, &node, beat);
        }
    }

    fn replicate_to(&mut self, now: TimePoint, node: &NodeName, beat: bool) {
        let resend_after = self.times.heartbeat * 2;
        let (last, base) = (self.log.last_index(), self.log.base());
        let RoleState::Leading(lead) = &mut self.role else { return };
        let Some(peer) = lead.peers.get_mut(node) else { return };
        // A lost message or answer is made up for after a while.
        if peer.asked_at.is_some_and(|at| now.since(at) >= resend_after) {
            peer.asked_at = None;
        }
        if peer.next <= base {
            let due = peer.asked_at.is_none();
            if due || beat {
                self.send_piece(now, node, due);
            }
            return;
        }
        let mut sent = false;
        while let Some(next) = self.next_entries(node).filter(|next| *next <= last) {
            let entries = self.log.slice(next, MAX_BATCH_BYTES);
            self.send_append(now, node, entries);
            sent = true;
        }
        if beat && !sent {
            self.send_append(now, node, Vec::new());
        }
    }

    /// Where entries to `node` go on, when there is room for more.
    fn next_entries(&self, node: &NodeName) -> Option<LogIndex> {
        let RoleState::Leading(lead) = &self.role else { return None };
        lead.peers.get(node).filter(|peer| peer.has_room()).map(|peer| peer.next)
    }

    fn send_append(&mut self, now: TimePoint, node: &NodeName, entries: Vec<LogEntry>) {
        let commit = self.commit;
        let RoleState::Leading(lead) = &mut self.role else { return };
        let round = lead.round;
        let Some(peer) = lead.peers.get_mut(node) else { return };
        let prev_index = LogIndex(peer.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev_index) else { return };
        if let Some(last) = entries.last() {
            peer.asked_at = Some(now);
            if peer.streaming {
                let bytes = entries.iter().map(entry_bytes).sum();
                peer.next = last.index.next();
                peer.in_flight.push_back((last.index, bytes));
                peer.in_flight_bytes += bytes;
            }
        }
        let call = AppendCall { prev_index, prev_term, entries, commit, round };
        self.send(node.clone(), PeerBody::Append(call));
    }

    /// Sends the next piece of the snapshot, or an empty one as a heartbeat.
    fn send_piece(&mut self, now: TimePoint, node: &NodeName, with_data: bool) {
        let Some(snapshot) = &self.snapshot else { return };
        let RoleState::Leading(lead) = &mut self.role else { return };
        let round = lead.round;
        let Some(peer) = lead.peers.get_mut(node) else { return };
        let total = snapshot.data.len();
        let offset = *peer.piece.get_or_insert(0);
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = if with_data { (start + PIECE_BYTES).min(total) } else { start };
        if with_data {
            peer.asked_at = Some(now);
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
