//! Orders to an engine, and what fencing numbers do to them.

use std::time::Duration;

use briartray_model::{plain_choice, plain_value};

plain_choice! {
    /// What an order changes.
    pub enum OrderKind {
        /// Load a model.
        LoadModel,
        /// Load an adapter.
        LoadAdapter,
        /// Change to another version.
        SetVersion,
        /// Change the role.
        SetRole,
    }
}

plain_value! {
    /// One order.
    pub struct EngineOrder {
        /// What it changes.
        pub kind: OrderKind,
        /// New model, adapter, version or role.
        pub name: String,
        /// Fencing number of who gives the order.
        #[serde(default)]
        pub fencing: u64,
    }

    /// An order that is carried out or was.
    pub struct TakenOrder {
        /// The order.
        pub order: EngineOrder,
        /// Since when the change is in force, in milliseconds of the engine's life.
        pub ready_ms: Option<u64>,
    }
}

/// The orders that one engine took.
#[derive(Debug)]
pub struct OrderBook {
    checks_fencing: bool,
    highest: u64,
    taken: Vec<TakenOrder>,
}

impl OrderBook {
    /// An engine without orders.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, highest: 0, taken: Vec::new() }
    }

    /// Takes an order; returns its position.
    ///
    /// # Errors
    /// The highest fencing number seen, when the engine checks it and the order's is lower.
    pub fn take(&mut self, order: &EngineOrder) -> Result<usize, u64> {
        if self.checks_fencing && order.fencing < self.highest {
            return Err(self.highest);
        }
        self.highest = self.highest.max(order.fencing);
        self.taken.push(TakenOrder { order: order.clone(), ready_ms: None });
        Ok(self.taken.len() - 1)
    }

    /// Notes that the order at `position` is in force.
    pub fn finish(&mut self, position: usize, now: Duration) {
        if let Some(taken) = self.taken.get_mut(position) {
            taken.ready_ms = Some(u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        }
    }

    /// Whether no order is being carried out.
    pub fn is_settled(&self) -> bool {
        self.taken.iter().all(|taken| taken.ready_ms.is_some())
    }

    /// Every order taken, in the order of arrival.
    pub fn taken(&self) -> &[TakenOrder] {
        &self.taken
    }
}
