//! Buffer for messages that a control host relays to other control hosts.

use std::time::Duration;

use briartray_fleet::director::EndpointHeartbeat;
use briartray_model::names::NodeName;
use briartray_model::{SortedTable, TimePoint};

use super::input::ProbeAnswer;

/// Time for which messages are buffered before they are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(10);

/// Messages to be relayed to other control hosts.
#[derive(Debug, Default)]
pub(super) struct RelayBuffer {
    /// Heartbeats for the leader.
    pub(super) heartbeats: Vec<EndpointHeartbeat>,
    /// Probe answers, by the host that requested them.
    pub(super) answers: SortedTable<NodeName, Vec<ProbeAnswer>>,
    /// When the buffer is to be sent; `None` if it is empty.
    pub(super) flush_at: Option<TimePoint>,
}

impl RelayBuffer {
    /// When the buffer is to be sent; `None` if it is empty.
    pub(super) fn flush_at(&self) -> Option<TimePoint> {
        self.flush_at
    }

    /// Buffers the answer to a probe that `requester` requested.
    pub(super) fn buffer_answer(
        &mut self,
        now: TimePoint,
        requester: NodeName,
        answer: ProbeAnswer,
    ) {
        self.answers.get_or_insert_with(requester, Vec::new).push(answer);
        self.flush_at.get_or_insert(now.after(FLUSH_DELAY));
    }

    /// Buffers a heartbeat for the leader.
    pub(super) fn buffer_heartbeat(&mut self, now: TimePoint, heartbeat: EndpointHeartbeat) {
        self.heartbeats.push(heartbeat);
        self.flush_at.get_or_insert(now.after(FLUSH_DELAY));
    }
}
