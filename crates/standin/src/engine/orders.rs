//! Orders to an engine and the check of their fencing numbers.

use std::time::Duration;

use briartray_model::{plain_choice, plain_value};

plain_choice! {
    /// Kind of an order.
    pub enum OrderKind {
        /// Load a model.
        LoadModel,
        /// Load an adapter.
        LoadAdapter,
        /// Switch to another version.
        SetVersion,
        /// Change the role.
        SetRole,
    }
}

plain_value! {
    /// An order to the engine.
    pub struct EngineOrder {
        /// Kind of the change.
        pub kind: OrderKind,
        /// Name of the new model, adapter, version or role.
        pub name: String,
        /// Fencing number of the sender.
        #[serde(default)]
        pub fencing: u64,
    }

    /// An accepted order, in progress or completed.
    pub struct AcceptedOrder {
        /// The order.
        pub order: EngineOrder,
        /// Completion time in milliseconds since the engine started; `None` while in progress.
        pub ready_ms: Option<u64>,
    }
}

/// Orders accepted by an engine.
#[derive(Debug)]
pub struct OrderBook {
    checks_fencing: bool,
    highest_fencing: u64,
    accepted: Vec<AcceptedOrder>,
}

impl OrderBook {
    /// Creates an empty book; `checks_fencing` refuses orders with an outdated number.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, highest_fencing: 0, accepted: Vec::new() }
    }

    /// Accepts an order and returns its position.
    ///
    /// # Errors
    /// The highest fencing number seen, if numbers are checked and that of the order is lower.
    pub fn accept(&mut self, order: &EngineOrder) -> Result<usize, u64> {
        if self.checks_fencing && order.fencing < self.highest_fencing {
            return Err(self.highest_fencing);
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        self.accepted.push(AcceptedOrder { order: order.clone(), ready_ms: None });
        Ok(self.accepted.len() - 1)
    }

    /// Marks the order at `position` as completed at `now`.
    pub fn finish(&mut self, position: usize, now: Duration) {
        if let Some(accepted) = self.accepted.get_mut(position) {
            accepted.ready_ms = Some(u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        }
    }

    /// Returns whether no order is in progress.
    pub fn is_idle(&self) -> bool {
        self.accepted.iter().all(|accepted| accepted.ready_ms.is_some())
    }

    /// Returns all accepted orders by arrival.
    pub fn accepted(&self) -> &[AcceptedOrder] {
        &self.accepted
    }
}
