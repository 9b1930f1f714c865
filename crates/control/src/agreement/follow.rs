//! The follower's side: taking entries and snapshots.

use briartray_model::TimePoint;
use briartray_model::names::{LogIndex, NodeName};

use super::core::{AgreementCore, MembershipMode, RoleState};
use super::log::EntryLog;
use super::{
    AppendCall, AppendReply, InstallCall, LogEntry, LogSnapshot, PeerBody, SnapshotMeta,
    StorageWrite,
};

/// Largest snapshot that is taken from a leader, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 1024 * 1024 * 1024;

/// A snapshot of which pieces are missing.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl AgreementCore {
    pub(super) fn take_append(&mut self, now: TimePoint, from: NodeName, call: AppendCall) {
        if self.awaits_founding() || !self.follow(now, &from) {
            return;
        }
        let (prev, round) = (call.prev_index, call.round);
        let reply = |matched, index| {
            PeerBody::AppendReply(AppendReply { prev_index: prev, matched, index, round })
        };
        if let Some(next) = self.mismatch(&call) {
            let ticket = self.sync.hard_ticket();
            return self.send_after(ticket, from, reply(false, next));
        }
        let end = LogIndex(prev.0 + call.entries.len() as u64);
        let wrote = self.take_entries(call.entries);
        self.commit_to(call.commit.min(end));
        if wrote {
            return self.send_after(self.sync.current(), from, reply(true, end));
        }
        // Nothing new to write: what is synced by now is told at once, so that a slow disk does
        // not make the leader believe that this host is gone.
        let synced = end.min(self.sync.durable());
        self.send_after(self.sync.hard_ticket(), from, reply(true, synced));
    }

    /// Whether the founding seats must be known before entries are taken.
    ///
    /// With dynamic membership the seats follow from the founding ones and the entries: applied
    /// to nothing, the entries would leave a host that counts other majorities than the rest.
    fn awaits_founding(&self) -> bool {
        matches!(self.membership, MembershipMode::Dynamic { .. }) && self.founding.is_none()
    }

    /// Takes `from` as the leader of the current term; `false` when that cannot be.
    fn follow(&mut self, now: TimePoint, from: &NodeName) -> bool {
        if matches!(self.role, RoleState::Leading(_)) {
            log::error!(from = from.as_str(); "two leaders in one term; check for copied data folders");
            return false;
        }
        self.role = RoleState::Following;
        self.leader = Some(from.clone());
        self.leader_heard = Some(now);
        self.delay_election(now);
        if self.hard.voted.is_none() {
            // Whoever follows in a term votes for nobody else in it, also after a restart.
            self.hard.voted = Some(from.clone());
            self.write_hard();
        }
        true
    }

    /// Where the leader may try next, when the entry before the sent ones is not held.
    fn mismatch(&self, call: &AppendCall) -> Option<LogIndex> {
        if call.prev_index < self.log.base() || call.prev_index <= self.commit {
            // Committed here, so it is the same entry.
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

    /// Adds what is new; tells whether anything was.
    fn take_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let mut fresh = Vec::new();
        for entry in entries {
            if entry.index <= self.commit || entry.index <= self.log.base() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate(entry.index);
                    self.sync.truncate(entry.index);
                    self.sync.write(StorageWrite::Truncate(entry.index));
                }
                None => {}
            }
            self.log.push(entry.clone());
            fresh.push(entry);
        }
        if fresh.is_empty() {
            return false;
        }
        self.sync.write(StorageWrite::Append(fresh));
        true
    }

    pub(super) fn take_install(&mut self, now: TimePoint, from: NodeName, call: InstallCall) {
        if self.awaits_founding() || !self.follow(now, &from) {
            return;
        }
        let (index, round) = (call.meta.index, call.round);
        if index <= self.commit {
            self.incoming = None;
            let synced = index.min(self.sync.durable());
            return self.answer_installed(self.sync.hard_ticket(), from, index, synced, round);
        }
        if call.total > MAX_SNAPSHOT_BYTES {
            log::error!(bytes = call.total; "a snapshot is too large; reduce what control holds");
            return;
        }
        let same = self.incoming.as_ref().is_some_and(|incoming| incoming.meta == call.meta);
        if !same {
            self.incoming = Some(IncomingSnapshot { meta: call.meta, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return };
        if call.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&call.data);
        }
        let offset = incoming.data.len() as u64;
        if offset < call.total {
            let reply = PeerBody::InstallReply { index, offset, round };
            return self.send_after(self.sync.hard_ticket(), from, reply);
        }
        self.install();
        self.answer_installed(self.sync.current(), from, index, index, round);
    }

    fn answer_installed(
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

    fn install(&mut self) {
        let Some(IncomingSnapshot { meta, data }) = self.incoming.take() else { return };
        log::info!(index = meta.index.0, bytes = data.len(); "snapshot installed");
        self.sync.truncate(self.commit.next());
        self.log = EntryLog::after(meta.index, meta.term);
        let snapshot = LogSnapshot { meta, data: std::sync::Arc::new(data) };
        self.sync.write(StorageWrite::Install(snapshot.clone()));
        self.restore(snapshot);
        self.write_hard();
    }
}
