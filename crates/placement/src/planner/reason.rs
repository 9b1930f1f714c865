//! Why the planner did what it did, in a form that can be shown.

use briartray_model::names::{GroupId, ServiceName};
use briartray_model::{plain_choice, plain_value};

plain_choice! {
    /// What a decision came down to.
    pub enum PlanReason {
        /// Fewer groups than wanted, and hosts to form one.
        MissingReplica,
        /// Hosts would be idle, and the rules ask for groups that stand in at once.
        StandbyReplica,
        /// A missing member is expected back sooner than a replacement would be ready.
        WaitForReturn,
        /// Nobody is there to replace a missing member.
        WaitNoSpare,
        /// A free host of the same place takes the missing member's position.
        UseSpare,
        /// Another broken group of the same place gives up its members.
        SplitBroken,
        /// A whole new group takes over, formed before the old one ends.
        RebuildElsewhere,
        /// A free host of another fabric domain takes the missing member's position.
        CrossDomain,
        /// A group that crosses fabric domains comes back into one.
        ComeHome,
        /// A member that is on its way out is replaced.
        MemberLeaving,
        /// A group moves to a provider that the rules prefer.
        ProviderPreferred,
        /// A member listens at another address since it restarted.
        AddressChanged,
        /// Too many hosts load at once; the group is formed again when the weight store has room.
        LoadsQueued,
        /// The group has been replaced or is more than wanted.
        Surplus,
        /// The service is not declared, or with another number of hosts.
        NotDeclared,
    }
}

plain_value! {
    /// One decision of one round, with the costs that were compared.
    pub struct PlanDecision {
        /// Service concerned.
        pub service: ServiceName,
        /// Group concerned; none when a new one is formed.
        pub group: Option<GroupId>,
        /// What it came down to.
        pub reason: PlanReason,
        /// Expected cost of what was chosen, in weighted seconds.
        pub cost: f64,
        /// Expected cost of the next best choice, when there was one.
        pub other_cost: Option<f64>,
    }
}
