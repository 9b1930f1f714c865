//! What a control host gathers for others before it passes it on.

use std::time::Duration;

use briartray_fleet::director::EndpointHeartbeat;
use briartray_model::names::NodeName;
use briartray_model::{SortedTable, TimePoint};

use super::input::ProbeAnswer;

/// Time for which messages are gathered before they are passed on.
const GATHER: Duration = Duration::from_millis(10);

/// What is gathered for other control hosts.
#[derive(Debug, Default)]
pub(super) struct RelayBuffer {
    /// Beats for the leader.
    pub(super) beats: Vec<EndpointHeartbeat>,
    /// Answers to probes, by the host that wanted them.
    pub(super) answers: SortedTable<NodeName, Vec<ProbeAnswer>>,
    /// When they are passed on.
    pub(super) flush_at: Option<TimePoint>,
}

impl RelayBuffer {
    /// When something is to be passed on.
    pub(super) fn flush_at(&self) -> Option<TimePoint> {
        self.flush_at
    }

    /// Keeps the answer to a probe that `asker` wanted.
    pub(super) fn hold_answer(&mut self, now: TimePoint, asker: NodeName, answer: ProbeAnswer) {
        self.answers.get_or_insert_with(asker, Vec::new).push(answer);
        self.flush_at.get_or_insert(now.after(GATHER));
    }

    /// Keeps a beat for the leader.
    pub(super) fn hold_beat(&mut self, now: TimePoint, heartbeat: EndpointHeartbeat) {
        self.beats.push(heartbeat);
        self.flush_at.get_or_insert(now.after(GATHER));
    }
}
