//! Orders to endpoints and what comes of them, and questions.

use briartray_model::names::{GroupId, IncarnationId};
use briartray_model::{plain_choice, plain_value};

plain_choice! {
    /// What happens to the work of a group that closes.
    pub enum CloseMethod {
        /// It ends by itself.
        Wait,
        /// It is cut off.
        Truncate,
    }

    /// What an endpoint made of an order.
    pub enum OrderOutcome {
        /// It began.
        Begun,
        /// The state was so already.
        Holds,
        /// It does not fit the endpoint's state.
        Misfit,
        /// The endpoint has seen a later epoch or fencing number.
        Fenced,
        /// Another endpoint has the address now.
        OtherEndpoint,
        /// Nothing came back: it may be carried out at once, later or never.
        Unknown,
    }
}

plain_value! {
    /// One order.
    pub enum EndpointOrder {
        /// Become part of a group.
        Join {
            /// The group.
            group: GroupId,
            /// Model it will serve.
            model: String,
            /// Its members, the first host first.
            members: Vec<IncarnationId>,
        },
        /// Begin to serve.
        Open {
            /// The group.
            group: GroupId,
        },
        /// Take no new work.
        Close {
            /// The group.
            group: GroupId,
            /// What happens to its work.
            method: CloseMethod,
        },
        /// Be in no group.
        Leave {
            /// The group.
            group: GroupId,
        },
        /// Load weights onto the host.
        Stage {
            /// The model.
            model: String,
        },
    }

    /// An order to be sent.
    pub struct OrderCall {
        /// The endpoint.
        pub id: IncarnationId,
        /// Where it listens.
        pub address: String,
        /// The order.
        pub order: EndpointOrder,
    }

    /// A report to be asked for.
    pub struct ProbeCall {
        /// The endpoint.
        pub id: IncarnationId,
        /// Where it listens.
        pub address: String,
        /// Whether something may be wrong with it: a question before was not answered, or its group is
        /// found silent.
        pub urgent: bool,
    }
}
