//! The follower: appending entries and installing snapshots.

use briartray_model::TimePoint;
use briartray_model::names::{LogIndex, NodeName};

use super::core::{AgreementCore, MembershipMode, RoleState};
use super::log::EntryLog;
use super::{
    AppendCall, AppendReply, InstallCall, LogEntry, LogSnapshot, PeerBody, SnapshotMeta,
    StorageWrite,
};

/// Maximum size of a snapshot accepted from a leader, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 1024 * 1024 * 1024;

/// A snapshot that has been received in part.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl AgreementCore {
    pub(super) fn handle_append(&mut self, now: TimePoint, from: NodeName, call: AppendCall) {
        if self.needs_founding_seats() || !self.accept_leader(now, &from) {
            return;
        }
        let (prev, round) = (call.prev_index, call.round);
        let reply = |matched, index| {
            PeerBody::AppendReply(AppendReply { prev_index: prev, matched, index, round })
        };
        if let Some(next) = self.find_conflict(&call) {
            let ticket = self.sync.hard_state_ticket();
            return self.send_after(ticket, from, reply(false, next));
        }
        let end = LogIndex(prev.0 + call.entries.len() as u64);
        let appended = self.append_new_entries(call.entries);
        self.commit_to(call.commit.min(end));
        if appended {
            return self.send_after(self.sync.pending_ticket(), from, reply(true, end));
        }
        // Nothing to write: acknowledge the synced part at once, so that the leader does not take
        // this host for dead while its disk is slow.
        let synced = end.min(self.sync.durable());
        self.send_after(self.sync.hard_state_ticket(), from, reply(true, synced));
    }

    /// Whether entries must be rejected until the founding seats are known.
    ///
    /// With dynamic membership, the current seats result from the founding seats and the log
    /// entries. Without the founding seats, this host would compute different majorities than the
    /// others.
    fn needs_founding_seats(&self) -> bool {
        matches!(self.membership, MembershipMode::Dynamic { .. }) && self.founding.is_none()
    }

    /// Accepts `from` as leader of the current term; returns `false` if this host leads it itself.
    fn accept_leader(&mut self, now: TimePoint, from: &NodeName) -> bool {
        if matches!(self.role, RoleState::Leading(_)) {
            log::error!(
                from = from.as_str();
                "rejected a second leader in the same term; check for copied data folders"
            );
            return false;
        }
        self.role = RoleState::Following;
        self.leader = Some(from.clone());
        self.failed_attempts = 0;
        self.last_leader_contact = Some(now);
        self.reset_election_timer(now);
        if self.hard.voted.is_none() {
            // After following a leader, do not vote for another host in this term, even after a
            // restart.
            self.hard.voted = Some(from.clone());
            self.write_hard_state();
        }
        true
    }

    /// Index from which the leader should continue if the previous entry does not match.
    fn find_conflict(&self, call: &AppendCall) -> Option<LogIndex> {
        if call.prev_index < self.log.base() || call.prev_index <= self.commit {
            // Committed on this host, so it is the same entry as the leader's.
            return None;
        }
        match self.log.term_at(call.prev_index) {
            Some(term) if term == call.prev_term => None,
            Some(_) => {
                let first = self.log.first_of_term(call.prev_index);
                Some(LogIndex(first.0.saturating_sub(1)).max(self.commit))
            }
            None => Some(self.log.last_index()),
        }
    }

    /// Appends the new entries after removing conflicting ones; returns whether any were appended.
    fn append_new_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let mut new_entries = Vec::new();
        for entry in entries {
            if entry.index <= self.commit || entry.index <= self.log.base() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate(entry.index);
                    self.recompute_latest_seats();
                    self.sync.truncate(entry.index);
                    self.sync.write(StorageWrite::Truncate(entry.index));
                }
                None => {}
            }
            self.note_appended(&entry.payload);
            self.log.push(entry.clone());
            new_entries.push(entry);
        }
        if new_entries.is_empty() {
            return false;
        }
        self.sync.write(StorageWrite::Append(new_entries));
        true
    }

    pub(super) fn handle_install(&mut self, now: TimePoint, from: NodeName, call: InstallCall) {
        if self.needs_founding_seats() || !self.accept_leader(now, &from) {
            return;
        }
        let (index, round) = (call.meta.index, call.round);
        if index <= self.commit {
            self.incoming = None;
            let synced = index.min(self.sync.durable());
            return self.acknowledge_snapshot(
                self.sync.hard_state_ticket(),
                from,
                index,
                synced,
                round,
            );
        }
        if call.total > MAX_SNAPSHOT_BYTES {
            log::error!(
                bytes = call.total;
                "rejected a snapshot over the size limit; reduce the amount of control state"
            );
            return;
        }
        let is_same_snapshot =
            self.incoming.as_ref().is_some_and(|incoming| incoming.meta == call.meta);
        if !is_same_snapshot {
            self.incoming = Some(IncomingSnapshot { meta: call.meta, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return };
        if call.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&call.data);
        }
        let offset = incoming.data.len() as u64;
        if offset < call.total {
            let reply = PeerBody::InstallReply { index, offset, round };
            return self.send_after(self.sync.hard_state_ticket(), from, reply);
        }
        self.install_snapshot();
        self.acknowledge_snapshot(self.sync.pending_ticket(), from, index, index, round);
    }

    fn acknowledge_snapshot(
        &mut self,
        ticket: u64,
        to: NodeName,
        prev_index: LogIndex,
        index: LogIndex,
        round: u64,
    ) {
        let reply = AppendReply { prev_index, matched: true, index, round };
        self.send_after(ticket, to, PeerBody::AppendReply(reply));
    }

    fn install_snapshot(&mut self) {
        let Some(IncomingSnapshot { meta, data }) = self.incoming.take() else { return };
        log::info!(
            index = meta.index.0, bytes = data.len();
            "installed a snapshot from the leader"
        );
        self.sync.truncate(self.commit.next());
        self.log = EntryLog::after(meta.index, meta.term);
        let snapshot = LogSnapshot { meta, data: std::sync::Arc::new(data) };
        self.sync.write(StorageWrite::Install(snapshot.clone()));
        self.restore(snapshot);
        self.write_hard_state();
    }
}
