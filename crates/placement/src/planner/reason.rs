//! Reasons and costs of planner decisions, for logs and reports.

use briartray_model::names::{GroupId, ServiceName};
use briartray_model::{plain_choice, plain_value};

plain_choice! {
    /// Reason for a decision.
    pub enum PlanReason {
        /// Fewer groups exist than replicas are declared, and free hosts can form one.
        MissingReplica,
        /// Hosts are idle, and the rules ask for standby groups beyond the declared replicas.
        StandbyReplica,
        /// Waiting for a missing member is expected to cost less than replacing it.
        WaitForReturn,
        /// No free host can replace a missing member.
        WaitNoSpare,
        /// A free host of the same place replaces a missing or loading member.
        UseSpare,
        /// Another broken group of the same place is dissolved; its hosts replace missing members.
        SplitBroken,
        /// A new group is formed; the old one is dissolved once the new one serves.
        RebuildElsewhere,
        /// A group is formed or completed with hosts of several fabric domains.
        CrossDomain,
        /// A group that crosses fabric domains is replaced by one within a domain.
        ComeHome,
        /// A member that has announced to leave is replaced.
        MemberLeaving,
        /// A group is replaced by one at a provider that the rules prefer.
        ProviderPreferred,
        /// A member listens at another address after a restart; the group is assigned anew.
        AddressChanged,
        /// Too many hosts load at once; the group is dissolved, and formed again when the weight
        /// store has capacity.
        LoadsQueued,
        /// The group has been superseded, exceeds the declared replicas, or waits for a host that
        /// is not expected back.
        Surplus,
        /// The service is not declared, or is declared with another number of hosts per replica.
        NotDeclared,
    }
}

plain_value! {
    /// A decision of one planning round, with the costs that were compared.
    pub struct PlanDecision {
        /// Service concerned.
        pub service: ServiceName,
        /// Group concerned; `None` if a new one is formed.
        pub group: Option<GroupId>,
        /// Reason for the decision.
        pub reason: PlanReason,
        /// Expected cost of the chosen option, in seconds weighted by the rules.
        pub cost: f64,
        /// Expected cost of the next best option in the same unit, if there was one.
        pub other_cost: Option<f64>,
    }
}
