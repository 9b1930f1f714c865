//! Processing the output of the consensus core: messages, writes, committed commands and leadership
//! changes.

use briartray_control::agreement::{
    CommittedEntry, EntryPayload, LogDelivery, LogSnapshot, MemberRole,
};
use briartray_fleet::state::{
    EndpointRecord, FleetCommand, FleetOutcome, StoredPlan, decode_state, encode_state,
};
use briartray_model::codec;
use briartray_quarantine::ShownRecord;

use super::core::ControlCore;
use super::input::{ControlReply, CoreMessage};
use super::leadership::Leadership;
use super::origin::{CommandOrigin, CoreFailure, ReadOrigin};
use crate::stored_plan::read_stored_plan;

impl ControlCore {
    /// Processes the output of the consensus core. Returns `true` if something was applied, which
    /// may produce further output.
    pub(super) fn advance(&mut self) -> bool {
        let now = self.now();
        let Some(agreement) = &mut self.agreement else { return false };
        let output = agreement.drain(now);
        if let (Some(batch), Some(disk)) = (output.batch, &self.disk) {
            // Sending fails only after a disk failure, which is reported separately.
            let _ = disk.send(batch);
        }
        for (to, message) in output.messages {
            self.parts.peers.send(&to, CoreMessage::Agreement(message));
        }
        for token in output.lost {
            if let Some(origin) = self.proposals.remove(&token) {
                self.handle_lost_command(origin);
            }
        }
        self.update_leadership();
        let applied = !output.deliveries.is_empty();
        for delivery in output.deliveries {
            match delivery {
                LogDelivery::Entry(committed) => self.apply(committed),
                LogDelivery::Restore(snapshot) => self.restore(&snapshot),
            }
            if self.failed.is_some() {
                return false;
            }
        }
        for token in output.unconfirmed {
            if let Some(origin) = self.reads.remove(&token) {
                self.handle_unconfirmed_read(origin);
            }
        }
        for token in output.confirmed {
            if let Some(origin) = self.reads.remove(&token) {
                self.answer_read(origin);
            }
        }
        self.take_snapshot();
        applied
    }

    /// Starts or ends leadership according to the consensus role.
    fn update_leadership(&mut self) {
        let Some(agreement) = &self.agreement else { return };
        let term = agreement.term();
        let leads = agreement.role() == MemberRole::Leader;
        let known = self.leadership.as_ref().map(|leadership| leadership.term);
        if known == leads.then_some(term) {
            return;
        }
        let terms = self.parts.settings.limits.retry_terms().allowance;
        self.leadership = leads.then(|| Leadership::new(self.now(), term, &self.state, terms));
    }

    fn apply(&mut self, committed: CommittedEntry) {
        let CommittedEntry { entry, token } = committed;
        let origin = token.and_then(|token| self.proposals.remove(&token));
        let own_term = self.leadership.as_ref().is_some_and(|lead| lead.term == entry.term);
        match entry.payload {
            EntryPayload::Blank if own_term => self.establish(),
            EntryPayload::Blank | EntryPayload::Admit(_) | EntryPayload::Dismiss(_) => {}
            EntryPayload::Command(bytes) => self.apply_command(&bytes, origin),
        }
    }

    fn apply_command(&mut self, bytes: &[u8], origin: Option<CommandOrigin>) {
        let command: FleetCommand = match codec::decode(bytes) {
            Ok(command) => command,
            Err(error) => {
                log::error!("cannot decode committed command; ending the control role: {error}");
                self.failed = Some(CoreFailure::State);
                return;
            }
        };
        let outcome = self.state.apply(&command);
        log::info!("applied command: {}: {outcome:?}", command_summary(&command));
        if outcome == FleetOutcome::PlanInForce {
            self.adopt_plan();
        }
        let now = self.now();
        if let Some(leadership) = &mut self.leadership {
            leadership.view_dirty = true;
            leadership.step_due = true;
            match &command {
                FleetCommand::Quarantine(record) => leadership.quarantine.added(record.print),
                FleetCommand::LiftQuarantine(fingerprint) => {
                    leadership.quarantine.lifted(now, *fingerprint)
                }
                FleetCommand::QuarantinePart(record) => {
                    leadership.quarantine.added_part(now, record);
                }
                FleetCommand::LiftPart(part) => leadership.quarantine.lifted_part(now, *part),
                FleetCommand::ReadmitZone(zone) => leadership.director.readmit(now, zone),
                _ => {}
            }
        }
        match origin {
            Some(CommandOrigin::Caller(reply)) => {
                let _ = reply.send(ControlReply::Done);
            }
            Some(CommandOrigin::Director) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.director.command_done();
                }
            }
            Some(CommandOrigin::Quarantine(_) | CommandOrigin::PartQuarantine(_)) | None => {}
        }
    }

    fn adopt_plan(&mut self) {
        let Some(stored_plan) = self.state.plan() else { return };
        match read_stored_plan(stored_plan) {
            Ok(plan) => {
                self.overload_scope.set_plan(&plan);
                if let Some(leadership) = &mut self.leadership {
                    self.overload_scope.apply(&mut leadership.director);
                }
                self.plan = Some(plan);
            }
            Err(error) => log::error!(
                "cannot decode accepted deployment plan; keeping the previous one: {error}"
            ),
        }
    }

    fn restore(&mut self, snapshot: &LogSnapshot) {
        match decode_state(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                log::error!("cannot decode snapshot; ending the control role: {error}");
                self.failed = Some(CoreFailure::State);
                return;
            }
        }
        self.adopt_plan();
    }

    fn answer_read(&mut self, origin: ReadOrigin) {
        match origin {
            ReadOrigin::Plan(reply) => {
                let _ = reply.send(self.state.plan().map_or(ControlReply::NoPlan, plan_reply));
            }
            ReadOrigin::Superseded(reply) => {
                let _ = reply.send(ControlReply::Done);
            }
            ReadOrigin::Quarantine(reply) => {
                let records = self.state.quarantine().shown();
                let _ = reply.send(ControlReply::Quarantine(records));
            }
            ReadOrigin::Evacuated(reply) => {
                let zones = self.state.evacuated().to_vec();
                let _ = reply.send(ControlReply::Evacuated(zones));
            }
            ReadOrigin::Entry(report, writer) => self.answer_report(&report, &writer),
        }
    }

    fn take_snapshot(&mut self) {
        let Some(agreement) = &mut self.agreement else { return };
        if !agreement.wants_snapshot() {
            return;
        }
        match encode_state(&self.state) {
            Ok(data) => agreement.compact(data),
            Err(error) => log::error!("cannot encode snapshot; keeping the log entries: {error}"),
        }
    }
}

/// The text of `plan`, as a reply to an operator.
fn plan_reply(plan: &StoredPlan) -> ControlReply {
    match plan.text() {
        Ok(text) => ControlReply::Plan(text),
        Err(error) => {
            log::error!(version = plan.version; "cannot unpack deployment plan: {error}");
            ControlReply::Unavailable
        }
    }
}

/// Describes a command for the log, without the plan text.
fn command_summary(command: &FleetCommand) -> String {
    match command {
        FleetCommand::PutPlan(plan) => format!("deployment plan {}", plan.version),
        FleetCommand::FormGroup(group) => {
            let members: Vec<String> =
                group.members.iter().map(|host| host.id.to_string()).collect();
            format!("form group of {} in {}: {}", group.model, group.domain, members.join(" "))
        }
        FleetCommand::EndGroup(group) => format!("dissolve group {group}"),
        FleetCommand::MarkLeaving(id) => format!("mark {id} as leaving"),
        FleetCommand::Announce(records) => {
            let registration =
                |record: &EndpointRecord| format!("register {} at {}", record.id, record.address);
            records.iter().map(registration).collect::<Vec<_>>().join(", ")
        }
        FleetCommand::Forget(ids) => {
            let names: Vec<String> = ids.iter().map(ToString::to_string).collect();
            format!("remove {}", names.join(" "))
        }
        FleetCommand::Quarantine(record) => quarantine_summary("", &record.shown()),
        FleetCommand::QuarantinePart(record) => quarantine_summary("prompt part ", &record.shown()),
        FleetCommand::LiftQuarantine(fingerprint) => format!("lift quarantine of {fingerprint}"),
        FleetCommand::LiftPart(part) => format!("lift quarantine of prompt part {part}"),
        FleetCommand::EvacuateZone(zone) => format!("evacuate {zone}"),
        FleetCommand::ReadmitZone(zone) => format!("readmit {zone}"),
    }
}

fn quarantine_summary(kind: &str, record: &ShownRecord) -> String {
    let team = record.team.as_ref().map_or("", |team| team.as_str());
    let crashed = record.crashed.join(" ");
    format!("quarantine {kind}{} ({}, {team}), which crashed {crashed}", record.print, record.rule)
}
