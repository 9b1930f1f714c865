//! Endpoints that are still in a group which has ended.
//!
//! A group ends in the log as soon as its first host counts as lost. That host may only be cut
//! off, or slow to answer, and go on serving; the other members know nothing. A member that joined
//! another group now would be in two groups at once. So an endpoint is free only when it says that
//! it is in no group that has ended, and until then it is told to close and to leave.

use std::time::Duration;

use briartray_model::TimePoint;

use super::host_record::HostRecord;
use super::hosts::HostTable;
use super::{CloseMethod, EndpointOrder, MarkState, OrderCall};
use crate::state::FleetState;

/// Wait before an order that shows no effect is given again.
const AGAIN: Duration = Duration::from_millis(400);

/// Whether `host` says that it is in a group which has ended.
pub(super) fn is_stray(host: &HostRecord, state: &FleetState) -> bool {
    let mark = host.beat.report.mark.as_ref();
    mark.is_some_and(|mark| !state.groups().contains_key(&mark.group))
}

/// Orders that get endpoints out of groups that have ended, `room` of them at the most.
pub(super) fn recall(
    now: TimePoint,
    hosts: &mut HostTable,
    state: &FleetState,
    room: usize,
) -> Vec<OrderCall> {
    let mut calls = Vec::new();
    for (id, host) in hosts.iter_mut() {
        if calls.len() >= room {
            break;
        }
        if host.is_lost() || !is_stray(host, state) {
            continue;
        }
        let Some(mark) = &host.beat.report.mark else { continue };
        let group = mark.group;
        let order = match mark.state {
            MarkState::Open | MarkState::Closing => {
                EndpointOrder::Close { group, method: CloseMethod::Truncate }
            }
            MarkState::Joining | MarkState::Ready | MarkState::Broken => {
                EndpointOrder::Leave { group }
            }
        };
        let waits = host
            .stray_order
            .as_ref()
            .is_some_and(|(last, at)| *last == order && now.since(*at) < AGAIN);
        if !waits {
            host.stray_order = Some((order.clone(), now));
            calls.push(OrderCall { id: id.clone(), address: host.beat.address.clone(), order });
        }
    }
    calls
}
