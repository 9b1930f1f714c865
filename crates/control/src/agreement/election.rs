//! Leader election: pre-vote, vote and stepping down.

use briartray_model::TimePoint;
use briartray_model::names::NodeName;

use super::core::{AgreementCore, RoleState};
use super::leader::LeaderState;
use super::{EntryPayload, FolderId, PeerBody, PeerMessage, VoteCall};
use briartray_model::names::TermNumber;

impl AgreementCore {
    /// Updates the local term from `message`; returns `false` if the message must be dropped.
    pub(super) fn reconcile_term(&mut self, now: TimePoint, message: &PeerMessage) -> bool {
        match &message.body {
            PeerBody::Hello | PeerBody::Welcome { .. } => return true,
            // A pre-vote request and a granted reply carry a proposed term only.
            PeerBody::PreVote(_) | PeerBody::PreVoteReply { granted: true } => return true,
            // Ignore vote requests while a leader is active: the candidate may just be partitioned.
            PeerBody::Vote(_) if self.has_live_leader(now) => return false,
            _ => {}
        }
        if message.term > self.hard.term {
            self.step_down(now, message.term);
        } else if message.term < self.hard.term {
            self.reject_stale_term(message);
            return false;
        }
        true
    }

    /// Informs a leader or candidate of an older term that its term has ended.
    fn reject_stale_term(&mut self, message: &PeerMessage) {
        let reply = match &message.body {
            PeerBody::Append(_) | PeerBody::Install(_) | PeerBody::Vote(_) => {
                PeerBody::VoteReply { granted: false }
            }
            _ => return,
        };
        // The term must be synced before it is sent to another host.
        self.send_after(self.sync.hard_state_ticket(), message.from.clone(), reply);
    }

    /// Whether this host leads, or has heard from a leader within the minimum election timeout.
    pub(super) fn has_live_leader(&self, now: TimePoint) -> bool {
        match &self.role {
            RoleState::Leading(_) => true,
            _ => {
                self.leader.is_some()
                    && self
                        .last_leader_contact
                        .is_some_and(|at| now.since(at) < self.times.election)
            }
        }
    }

    /// Becomes a follower in `term`. A former leader fails its pending proposals and reads.
    pub(super) fn step_down(&mut self, now: TimePoint, term: TermNumber) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted = None;
            self.write_hard_state();
        }
        let previous = std::mem::replace(&mut self.role, RoleState::Following);
        if let RoleState::Leading(state) = previous {
            log::info!(term = self.hard.term.0; "stepped down; pending proposals and reads fail");
            self.output.lost.extend(state.proposals.into_iter().map(|proposal| proposal.token));
            self.output.unconfirmed.extend(state.reads.into_iter().map(|read| read.token));
            self.output.unconfirmed.append(&mut self.output.confirmed);
            self.reset_election_timer(now);
        }
        self.leader = None;
    }

    pub(super) fn start_pre_vote(&mut self, now: TimePoint) {
        self.note_failed_attempt();
        self.leader = None;
        self.schedule_pre_vote(now);
        let own_vote = self.is_self_voter().then(|| self.node.clone());
        let votes: Vec<NodeName> = own_vote.into_iter().collect();
        let has_majority = votes.len() >= self.majority();
        self.role = RoleState::PreVoting(votes);
        if has_majority {
            return self.start_vote(now);
        }
        let call = self.vote_call();
        let mut message = self.message(PeerBody::PreVote(call));
        message.term = self.hard.term.next();
        for peer in self.peers() {
            self.output.messages.push((peer, message.clone()));
        }
    }

    /// Logs an attempt that ended without a majority, less often the longer no host leads.
    fn note_failed_attempt(&mut self) {
        let (phase, votes) = match &self.role {
            RoleState::PreVoting(votes) => ("pre-vote", votes),
            RoleState::Voting(votes) => ("vote", votes),
            RoleState::Following | RoleState::Leading(_) => return,
        };
        self.failed_attempts += 1;
        if !self.failed_attempts.is_power_of_two() {
            return;
        }
        log::warn!(
            phase, votes = votes.len(), needed = self.majority(), attempts = self.failed_attempts,
            term = self.hard.term.0, last_index = self.log.last_index().0,
            last_term = self.log.last_term().0;
            "election attempt without a majority of the voters"
        );
    }

    /// Answers a pre-vote, whether or not this host knows of a voter seat of its own.
    ///
    /// The candidate counts only folders that hold a seat, and every folder keeps its promises. A new
    /// voter may not have its seat's entry yet; without its vote the others could lack a majority.
    pub(super) fn handle_pre_vote(
        &mut self,
        now: TimePoint,
        from: NodeName,
        term: TermNumber,
        call: &VoteCall,
    ) {
        let granted = term > self.hard.term
            && !self.has_live_leader(now)
            && self.is_up_to_date(call)
            && !self.outranks_candidate(&from, call);
        if granted && matches!(self.role, RoleState::PreVoting(_)) {
            self.role = RoleState::Following;
            self.schedule_pre_vote(now);
        }
        if !self.is_up_to_date(call) {
            log::debug!(
                from = from.as_str(), last_index = call.last_index.0,
                own_last_index = self.log.last_index().0;
                "refused a pre-vote: the candidate's log is older"
            );
        }
        let mut message = self.message(PeerBody::PreVoteReply { granted });
        if granted {
            message.term = term;
        }
        self.output.messages.push((from, message));
    }

    /// Whether this host is itself in a pre-vote and takes precedence over `from`.
    ///
    /// Two hosts that start together request pre-votes at the same moment. If each granted the
    /// other's request, both would then vote for themselves and the election would fail until the
    /// next timeout. The host whose name sorts first therefore continues, unless the other one has
    /// a newer log.
    fn outranks_candidate(&self, from: &NodeName, call: &VoteCall) -> bool {
        let own = self.vote_call();
        let newer = (call.last_term, call.last_index) > (own.last_term, own.last_index);
        matches!(self.role, RoleState::PreVoting(_)) && !newer && self.node < *from
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        now: TimePoint,
        from: NodeName,
        folder: FolderId,
        term: TermNumber,
        granted: bool,
    ) {
        let counts = granted && term == self.hard.term.next() && self.is_voter(&from, folder);
        let majority = self.majority();
        let RoleState::PreVoting(votes) = &mut self.role else { return };
        if counts && add_vote(votes, from) >= majority {
            self.start_vote(now);
        }
    }

    fn start_vote(&mut self, now: TimePoint) {
        self.hard.term = self.hard.term.next();
        self.hard.voted = Some(self.node.clone());
        self.write_hard_state();
        self.reset_election_timer(now);
        // The host's own vote counts only after it is synced.
        self.role = RoleState::Voting(Vec::new());
        let call = self.vote_call();
        let ticket = self.sync.pending_ticket();
        for peer in self.peers() {
            self.send_after(ticket, peer, PeerBody::Vote(call.clone()));
        }
    }

    pub(super) fn handle_vote(&mut self, now: TimePoint, from: NodeName, call: &VoteCall) {
        let may_vote_for = self.hard.voted.as_ref().is_none_or(|voted| *voted == from);
        let granted = may_vote_for && self.is_up_to_date(call);
        if granted && self.hard.voted.is_none() {
            self.hard.voted = Some(from.clone());
            self.write_hard_state();
            self.reset_election_timer(now);
        }
        self.send_after(self.sync.hard_state_ticket(), from, PeerBody::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        now: TimePoint,
        from: NodeName,
        folder: FolderId,
        granted: bool,
    ) {
        if granted && self.is_voter(&from, folder) {
            self.count_vote(now, from);
        }
    }

    /// Whether this host stands for election and its disk has not synced that yet; the others are asked
    /// for their votes only then.
    pub(super) fn awaits_own_vote(&self) -> bool {
        matches!(self.role, RoleState::Voting(_))
            && !self.sync.is_synced(self.sync.hard_state_ticket())
    }

    /// Counts this host's own vote once it is synced, unless its log removes it from the voters.
    pub(super) fn count_own_vote(&mut self, now: TimePoint) {
        if matches!(self.role, RoleState::Voting(_))
            && self.is_self_voter()
            && self.sync.is_synced(self.sync.hard_state_ticket())
        {
            self.count_vote(now, self.node.clone());
        }
    }

    fn count_vote(&mut self, now: TimePoint, from: NodeName) {
        let (majority, is_voter) = (self.majority(), self.is_self_voter());
        let RoleState::Voting(votes) = &mut self.role else { return };
        // Require the own synced vote: without it, this host could vote for another one after a
        // restart. A host that its log removes has no vote; its requests were sent after the sync.
        let has_majority = add_vote(votes, from) >= majority;
        if has_majority && (!is_voter || votes.contains(&self.node)) {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: TimePoint) {
        log::info!(
            term = self.hard.term.0, node = self.node.as_str();
            "became leader of the control log"
        );
        self.leader = Some(self.node.clone());
        self.failed_attempts = 0;
        let first = self.log.last_index().next();
        self.role = RoleState::Leading(LeaderState::new(now, first, &self.peers()));
        self.append(EntryPayload::Blank);
    }

    /// Ends the leadership of this host once its removal from the voters is committed.
    ///
    /// The others are told, so that they need not wait until this host has been silent for a while.
    pub(super) fn resign_if_removed(&mut self, now: TimePoint) {
        let RoleState::Leading(state) = &self.role else { return };
        if self.commit < state.term_start_index || self.may_stand() {
            return;
        }
        log::info!(term = self.hard.term.0; "this host is no voter any more; ending its leadership");
        for peer in self.peers() {
            self.send(peer, PeerBody::Resigned);
        }
        self.step_down(now, self.hard.term);
    }

    /// Forgets a leader that has resigned; this host stands for election soon.
    pub(super) fn handle_resignation(&mut self, now: TimePoint, from: &NodeName) {
        if self.leader.as_ref() != Some(from) {
            return;
        }
        self.leader = None;
        self.reset_election_timer(now);
        self.shorten_election_timer(now);
    }

    fn vote_call(&self) -> VoteCall {
        VoteCall { last_index: self.log.last_index(), last_term: self.log.last_term() }
    }

    fn is_up_to_date(&self, call: &VoteCall) -> bool {
        (call.last_term, call.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// All control hosts except this one.
    pub(super) fn peers(&self) -> Vec<NodeName> {
        self.members.iter().filter(|member| **member != self.node).cloned().collect()
    }
}

fn add_vote(votes: &mut Vec<NodeName>, from: NodeName) -> usize {
    if !votes.contains(&from) {
        votes.push(from);
    }
    votes.len()
}
