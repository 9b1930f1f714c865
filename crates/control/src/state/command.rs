//! Commands of the control log and what comes of them.

use briartray_model::lease::LeaseTerms;
use briartray_model::message::{GroupMember, LedgerReply, LedgerRequest};
use briartray_model::names::{
    ChangeId, DomainName, FencingNumber, GroupId, HostName, NodeName, ProviderName, RequestPrint,
    RevisionNumber, ServiceName, StopId, ZoneName,
};
use briartray_model::plain_value;
use briartray_quarantine::QuarantineRecord;

use super::StopPlan;

plain_value! {
    /// One change of the control state.
    pub enum ControlCommand {
        /// Replace the rule document.
        ApplyRules {
            /// The operator's id for the change; a resend carries the same.
            change: ChangeId,
            /// Revision that must be in force, when the operator named one.
            expect: Option<RevisionNumber>,
            /// The document in YAML.
            text: String,
        },
        /// Form a group.
        FormGroup(GroupProposal),
        /// Dissolve a group and free its hosts.
        DissolveGroup {
            /// The group.
            group: GroupId,
        },
        /// Let an entry hold a rules lease.
        RegisterEntry {
            /// The entry.
            node: NodeName,
            /// Terms of its leases.
            terms: LeaseTerms,
        },
        /// Strike an entry off.
        ForgetEntry {
            /// The entry.
            node: NodeName,
        },
        /// Put a group in the place of another in one step, so that no other command comes between
        /// freeing the members that are kept and binding them again.
        ReplaceGroup {
            /// The group that ends.
            group: GroupId,
            /// The group that takes its place.
            proposal: GroupProposal,
        },
        /// Change the ledger of claims.
        Ledger(LedgerRequest),
        /// Forget the oldest claims whose outcome is known.
        ForgetClaims {
            /// Newest claims that stay in any case.
            keep: u64,
        },
        /// Plan a stop.
        PlanStop {
            /// Revision of the stop book that the stop was checked against.
            expect: u64,
            /// The stop.
            plan: StopPlan,
        },
        /// A group of a planned stop begins to leave.
        BeginLeave {
            /// The group.
            group: GroupId,
        },
        /// Take a planned stop back.
        CancelStop {
            /// The stop.
            stop: StopId,
        },
        /// Refuse a request from now on.
        Quarantine(QuarantineRecord),
        /// Serve a request again.
        LiftQuarantine {
            /// The request.
            print: RequestPrint,
        },
    }

    /// A group to be formed.
    pub struct GroupProposal {
        /// Service it serves.
        pub service: ServiceName,
        /// Availability zone of the first host.
        pub zone: ZoneName,
        /// Fabric domain of the first host.
        pub domain: DomainName,
        /// Provider of all hosts.
        pub provider: ProviderName,
        /// Members in order.
        pub members: Vec<GroupMember>,
        /// How many attempts may be in flight.
        pub capacity: u32,
    }

    /// What a command did.
    pub enum CommandOutcome {
        /// The rules are replaced.
        RulesAccepted {
            /// The new revision.
            revision: RevisionNumber,
        },
        /// Another change came first.
        RulesConflict {
            /// The revision in force.
            revision: RevisionNumber,
        },
        /// The document does not hold.
        RulesInvalid {
            /// What is wrong.
            detail: String,
        },
        /// A known change id came with another document.
        ChangeReused {
            /// The id.
            change: ChangeId,
        },
        /// The change may have been applied so long ago that its outcome is no longer kept.
        ChangeTooOld {
            /// Outcomes of changes that expect this revision or an earlier one are gone.
            floor: RevisionNumber,
        },
        /// The group exists.
        GroupFormed {
            /// The group.
            group: GroupId,
            /// Its fencing number.
            fencing: FencingNumber,
        },
        /// The group was not formed: a host is in another group.
        HostTaken {
            /// The host.
            host: HostName,
            /// The group that holds it.
            group: GroupId,
        },
        /// The group is gone.
        GroupDissolved {
            /// The group.
            group: GroupId,
        },
        /// There is no such group.
        GroupUnknown {
            /// The group.
            group: GroupId,
        },
        /// The entry may hold a lease.
        EntryRegistered {
            /// The entry.
            node: NodeName,
        },
        /// The entry is struck off.
        EntryForgotten {
            /// The entry.
            node: NodeName,
        },
        /// There is no such entry.
        EntryUnknown {
            /// The entry.
            node: NodeName,
        },
        /// No more entries can be registered.
        EntriesFull {
            /// How many there may be.
            limit: usize,
        },
        /// What the ledger answered.
        Ledger(LedgerReply),
        /// Claims are forgotten.
        ClaimsForgotten {
            /// How many.
            count: usize,
        },
        /// The stop is planned.
        StopPlanned {
            /// The stop.
            stop: StopId,
        },
        /// The stop is not planned.
        StopRefused {
            /// Why.
            reason: String,
        },
        /// The group begins to leave.
        LeaveBegun {
            /// The group.
            group: GroupId,
        },
        /// The stop is taken back.
        StopCancelled {
            /// The stop.
            stop: StopId,
        },
        /// There never was such a stop.
        StopUnknown {
            /// The stop.
            stop: StopId,
        },
        /// The request is refused from now on.
        Quarantined {
            /// The request.
            print: RequestPrint,
        },
        /// The request is served again.
        QuarantineLifted {
            /// The request.
            print: RequestPrint,
        },
    }
}
