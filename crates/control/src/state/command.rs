//! Commands of the replicated state machine and their outcomes.

use briartray_model::lease::LeaseTerms;
use briartray_model::message::{GroupMember, LedgerReply, LedgerRequest};
use briartray_model::names::{
    ChangeId, DomainName, FencingNumber, GroupId, HostName, NodeName, PartId, ProviderName,
    RequestFingerprint, RevisionNumber, ServiceName, StopId, ZoneName,
};
use briartray_model::plain_value;
use briartray_quarantine::{PartRecord, QuarantineRecord};

use super::StopPlan;

plain_value! {
    /// A command that changes the control state.
    pub enum ControlCommand {
        /// Replace the rule document.
        ApplyRules {
            /// Id of the change, chosen by the operator; a resend uses the same id.
            change: ChangeId,
            /// Revision that must be in force, if the operator named one.
            expect: Option<RevisionNumber>,
            /// The rule document in YAML.
            text: String,
        },
        /// Form a group.
        FormGroup(GroupProposal),
        /// Dissolve a group and release its hosts.
        DissolveGroup {
            /// Id of the group.
            group: GroupId,
        },
        /// Register an entry, so that it may hold a rules lease.
        RegisterEntry {
            /// Name of the entry.
            node: NodeName,
            /// Terms of its leases.
            terms: LeaseTerms,
        },
        /// Remove the registration of an entry.
        ForgetEntry {
            /// Name of the entry.
            node: NodeName,
        },
        /// Replace a group by another one atomically, so that no other command is applied between
        /// releasing the kept members and binding them again.
        ReplaceGroup {
            /// Group to dissolve.
            group: GroupId,
            /// Group to form in its place.
            proposal: GroupProposal,
        },
        /// Change the ledger of claims.
        Ledger(LedgerRequest),
        /// Remove the oldest claims whose outcome is known.
        ForgetClaims {
            /// Number of newest claims to keep.
            keep: u64,
        },
        /// Plan a stop.
        PlanStop {
            /// Revision of the stop book that the stop was checked against.
            expect: u64,
            /// The stop to plan.
            plan: StopPlan,
        },
        /// Record that a group of a planned stop starts to leave.
        BeginLeave {
            /// Id of the group.
            group: GroupId,
        },
        /// Cancel a planned stop.
        CancelStop {
            /// Id of the stop.
            stop: StopId,
        },
        /// Reject a request from now on.
        Quarantine(QuarantineRecord),
        /// Serve a quarantined request again.
        LiftQuarantine {
            /// Fingerprint of the request.
            print: RequestFingerprint,
        },
        /// Reject requests with a prompt part from now on.
        QuarantinePart(PartRecord),
        /// Serve requests with a quarantined prompt part again.
        LiftPart {
            /// Id of the part.
            part: PartId,
        },
    }

    /// A group to be formed.
    pub struct GroupProposal {
        /// Service that the group serves.
        pub service: ServiceName,
        /// Availability zone of the first host.
        pub zone: ZoneName,
        /// Fabric domain of the first host.
        pub domain: DomainName,
        /// Provider of all hosts.
        pub provider: ProviderName,
        /// Members in order.
        pub members: Vec<GroupMember>,
        /// Maximum number of attempts in flight.
        pub capacity: u32,
    }

    /// The outcome of a command.
    pub enum CommandOutcome {
        /// The rule document was replaced.
        RulesAccepted {
            /// The new revision.
            revision: RevisionNumber,
        },
        /// The expected revision is not in force.
        RulesConflict {
            /// The revision in force.
            revision: RevisionNumber,
        },
        /// The rule document is invalid.
        RulesInvalid {
            /// What is wrong with it.
            detail: String,
        },
        /// The change id was used before with a different document.
        ChangeReused {
            /// The change id.
            change: ChangeId,
        },
        /// The change is so old that its outcome is no longer kept; it may have been applied.
        ChangeTooOld {
            /// Outcomes of changes that expect this revision or an earlier one have been evicted.
            floor: RevisionNumber,
        },
        /// The group was formed.
        GroupFormed {
            /// Id of the group.
            group: GroupId,
            /// Fencing number of the group.
            fencing: FencingNumber,
        },
        /// The group was not formed, because a host belongs to another group.
        HostTaken {
            /// Name of the host.
            host: HostName,
            /// The group that it belongs to.
            group: GroupId,
        },
        /// The group was dissolved.
        GroupDissolved {
            /// Id of the group.
            group: GroupId,
        },
        /// There is no such group.
        GroupUnknown {
            /// Id of the group.
            group: GroupId,
        },
        /// The entry is registered.
        EntryRegistered {
            /// Name of the entry.
            node: NodeName,
        },
        /// The registration of the entry was removed.
        EntryForgotten {
            /// Name of the entry.
            node: NodeName,
        },
        /// The entry is not registered.
        EntryUnknown {
            /// Name of the entry.
            node: NodeName,
        },
        /// The maximum number of entries is registered.
        EntriesFull {
            /// The maximum number of entries.
            limit: usize,
        },
        /// Reply of the ledger.
        Ledger(LedgerReply),
        /// Claims were removed.
        ClaimsForgotten {
            /// Number of removed claims.
            count: usize,
        },
        /// The stop is planned.
        StopPlanned {
            /// Id of the stop.
            stop: StopId,
        },
        /// The stop was rejected.
        StopRefused {
            /// Reason for the rejection.
            reason: String,
        },
        /// The group starts to leave.
        LeaveBegun {
            /// Id of the group.
            group: GroupId,
        },
        /// The stop is cancelled.
        StopCancelled {
            /// Id of the stop.
            stop: StopId,
        },
        /// No stop with this id was ever planned.
        StopUnknown {
            /// Id of the stop.
            stop: StopId,
        },
        /// The request is quarantined.
        Quarantined {
            /// Fingerprint of the request.
            print: RequestFingerprint,
        },
        /// The quarantine of the request is lifted.
        QuarantineLifted {
            /// Fingerprint of the request.
            print: RequestFingerprint,
        },
        /// The prompt part is quarantined.
        PartQuarantined {
            /// The record that the quarantine holds.
            record: PartRecord,
        },
        /// The quarantine of the prompt part is lifted.
        PartLifted {
            /// Id of the part.
            part: PartId,
        },
    }
}
