//! Orders to endpoints, their outcomes, and probes.

use briartray_model::names::{GroupId, IncarnationId};
use briartray_model::{plain_choice, plain_value};

plain_choice! {
    /// How a group treats its running requests when it closes.
    pub enum CloseMethod {
        /// They are completed.
        Wait,
        /// They are cut off.
        Truncate,
    }

    /// Result of an order.
    pub enum OrderOutcome {
        /// The endpoint started to carry it out.
        Begun,
        /// The endpoint was already in the requested state.
        Holds,
        /// The order does not fit the endpoint's state.
        Misfit,
        /// The endpoint has seen a later epoch or fencing token.
        Fenced,
        /// Another incarnation has the address now.
        OtherEndpoint,
        /// No answer: the order may have been carried out, be carried out later, or never.
        Unknown,
    }
}

plain_value! {
    /// An order to an endpoint.
    pub enum EndpointOrder {
        /// Join a group.
        Join {
            /// The group.
            group: GroupId,
            /// Model that the group serves.
            model: String,
            /// Members of the group, the head first.
            members: Vec<IncarnationId>,
        },
        /// Start to serve.
        Open {
            /// The group.
            group: GroupId,
        },
        /// Take no new requests.
        Close {
            /// The group.
            group: GroupId,
            /// Treatment of running requests.
            method: CloseMethod,
        },
        /// Leave a group.
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

    /// An order with its recipient.
    pub struct OrderCall {
        /// The endpoint.
        pub id: IncarnationId,
        /// Address of the endpoint.
        pub address: String,
        /// The order.
        pub order: EndpointOrder,
    }

    /// A probe with its recipient.
    pub struct ProbeCall {
        /// The endpoint.
        pub id: IncarnationId,
        /// Address of the endpoint.
        pub address: String,
        /// Whether a failure is suspected: an earlier probe had no answer, or the group is found
        /// silent.
        pub urgent: bool,
    }
}
