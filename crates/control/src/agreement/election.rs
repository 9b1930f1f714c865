//! Elections: pre-vote, vote, and the end of a leadership.

use briartray_model::TimePoint;
use briartray_model::names::NodeName;

use super::core::{AgreementCore, RoleState};
use super::lead::LeadState;
use super::{EntryPayload, FolderId, PeerBody, PeerMessage, VoteCall};
use briartray_model::names::TermNumber;

impl AgreementCore {
    /// Brings the term in line with `message`; `false` when the message is to be dropped.
    pub(super) fn accept_term(&mut self, now: TimePoint, message: &PeerMessage) -> bool {
        match &message.body {
            PeerBody::Hello | PeerBody::Welcome { .. } => return true,
            // The term of a pre-vote is only proposed, and so is that of a granted answer.
            PeerBody::PreVote(_) | PeerBody::PreVoteReply { granted: true } => return true,
            // A host that hears a leader leaves it alone: the caller may only have been cut off.
            PeerBody::Vote(_) if self.hears_leader(now) => return false,
            _ => {}
        }
        if message.term > self.hard.term {
            self.step_down(now, message.term);
        } else if message.term < self.hard.term {
            self.answer_stale(message);
            return false;
        }
        true
    }

    /// Tells a leader or candidate of an older term that the term is over.
    fn answer_stale(&mut self, message: &PeerMessage) {
        let reply = match &message.body {
            PeerBody::Append(_) | PeerBody::Install(_) | PeerBody::Vote(_) => {
                PeerBody::VoteReply { granted: false }
            }
            _ => return,
        };
        // The term must be synced before anyone hears of it.
        self.send_after(self.sync.hard_ticket(), message.from.clone(), reply);
    }

    /// Whether a leader was heard within the shortest election timeout, or this host leads.
    pub(super) fn hears_leader(&self, now: TimePoint) -> bool {
        match &self.role {
            RoleState::Leading(_) => true,
            _ => {
                self.leader.is_some()
                    && self.leader_heard.is_some_and(|at| now.since(at) < self.times.election)
            }
        }
    }

    /// Follows in `term`; loses leadership with everything that waits for it.
    pub(super) fn step_down(&mut self, now: TimePoint, term: TermNumber) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted = None;
            self.write_hard();
        }
        let before = std::mem::replace(&mut self.role, RoleState::Following);
        if let RoleState::Leading(lead) = before {
            log::info!(term = self.hard.term.0; "leadership ended");
            self.output.lost.extend(lead.proposals.into_iter().map(|proposal| proposal.token));
            self.output.unconfirmed.extend(lead.reads.into_iter().map(|read| read.token));
            self.output.unconfirmed.append(&mut self.output.confirmed);
            self.delay_election(now);
        }
        self.leader = None;
    }

    pub(super) fn start_pre_vote(&mut self, now: TimePoint) {
        self.leader = None;
        self.delay_pre_vote(now);
        self.role = RoleState::PreVoting(vec![self.node.clone()]);
        if self.majority() == 1 {
            return self.start_vote(now);
        }
        let call = self.vote_call();
        let mut message = self.message(PeerBody::PreVote(call));
        message.term = self.hard.term.next();
        for peer in self.peers() {
            self.output.messages.push((peer, message.clone()));
        }
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        now: TimePoint,
        from: NodeName,
        term: TermNumber,
        call: &VoteCall,
    ) {
        let granted = self.has_seat()
            && term > self.hard.term
            && !self.hears_leader(now)
            && self.is_up_to_date(call)
            && !self.goes_before(&from, call);
        if granted && matches!(self.role, RoleState::PreVoting(_)) {
            self.role = RoleState::Following;
            self.delay_pre_vote(now);
        }
        let mut message = self.message(PeerBody::PreVoteReply { granted });
        if granted {
            message.term = term;
        }
        self.output.messages.push((from, message));
    }

    /// Whether this host asks for a pre-vote itself and is not to give way to `from`.
    ///
    /// Two hosts that start together ask at the same moment. If each granted the other its wish, both would
    /// vote for themselves, and nobody would lead until the next election timeout. So the one whose name comes
    /// first goes on, unless the other has a newer log.
    fn goes_before(&self, from: &NodeName, call: &VoteCall) -> bool {
        let own = self.vote_call();
        let newer = (call.last_term, call.last_index) > (own.last_term, own.last_index);
        matches!(self.role, RoleState::PreVoting(_)) && !newer && self.node < *from
    }

    pub(super) fn take_pre_vote(
        &mut self,
        now: TimePoint,
        from: NodeName,
        folder: FolderId,
        term: TermNumber,
        granted: bool,
    ) {
        let wanted = granted && term == self.hard.term.next() && self.is_seat(&from, folder);
        let majority = self.majority();
        let RoleState::PreVoting(votes) = &mut self.role else { return };
        if wanted && count_in(votes, from) >= majority {
            self.start_vote(now);
        }
    }

    fn start_vote(&mut self, now: TimePoint) {
        self.hard.term = self.hard.term.next();
        self.hard.voted = Some(self.node.clone());
        self.write_hard();
        self.delay_election(now);
        // The own vote counts once it is synced.
        self.role = RoleState::Voting(Vec::new());
        let call = self.vote_call();
        let ticket = self.sync.current();
        for peer in self.peers() {
            self.send_after(ticket, peer, PeerBody::Vote(call.clone()));
        }
    }

    pub(super) fn answer_vote(&mut self, now: TimePoint, from: NodeName, call: &VoteCall) {
        let free = self.hard.voted.as_ref().is_none_or(|voted| *voted == from);
        let granted = self.has_seat() && free && self.is_up_to_date(call);
        if granted && self.hard.voted.is_none() {
            self.hard.voted = Some(from.clone());
            self.write_hard();
            self.delay_election(now);
        }
        self.send_after(self.sync.hard_ticket(), from, PeerBody::VoteReply { granted });
    }

    pub(super) fn take_vote(
        &mut self,
        now: TimePoint,
        from: NodeName,
        folder: FolderId,
        granted: bool,
    ) {
        if granted && self.is_seat(&from, folder) {
            self.count_vote(now, from);
        }
    }

    /// Counts the own vote once it is synced.
    pub(super) fn count_own_vote(&mut self, now: TimePoint) {
        if matches!(self.role, RoleState::Voting(_)) && self.sync.is_done(self.sync.hard_ticket()) {
            self.count_vote(now, self.node.clone());
        }
    }

    fn count_vote(&mut self, now: TimePoint, from: NodeName) {
        let majority = self.majority();
        let RoleState::Voting(votes) = &mut self.role else { return };
        // Leading needs the own vote too: without it a restart could vote for somebody else.
        if count_in(votes, from) >= majority && votes.contains(&self.node) {
            self.lead(now);
        }
    }

    fn lead(&mut self, now: TimePoint) {
        log::info!(term = self.hard.term.0, node = self.node.as_str(); "leading the control log");
        self.leader = Some(self.node.clone());
        let first = self.log.last_index().next();
        self.role = RoleState::Leading(LeadState::new(now, first, &self.peers()));
        self.append(EntryPayload::Blank);
    }

    fn vote_call(&self) -> VoteCall {
        VoteCall { last_index: self.log.last_index(), last_term: self.log.last_term() }
    }

    fn is_up_to_date(&self, call: &VoteCall) -> bool {
        (call.last_term, call.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// The other control hosts.
    pub(super) fn peers(&self) -> Vec<NodeName> {
        self.members.iter().filter(|member| **member != self.node).cloned().collect()
    }
}

fn count_in(votes: &mut Vec<NodeName>, from: NodeName) -> usize {
    if !votes.contains(&from) {
        votes.push(from);
    }
    votes.len()
}
