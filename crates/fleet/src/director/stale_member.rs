//! Members of groups that have ended.
//!
//! A group ends in the log as soon as its head counts as lost. The head may only be cut off or slow
//! to answer, and go on serving; the other members do not know. A member that joined another group
//! now would be in two groups at once. So an endpoint is free only when it reports no ended group,
//! and until then it is ordered to close and to leave.

use std::time::Duration;

use briartray_model::TimePoint;

use super::host_record::HostRecord;
use super::hosts::HostTable;
use super::{CloseMethod, EndpointOrder, MemberState, OrderCall};
use crate::state::FleetState;

/// Wait before an order without visible effect is sent again.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Whether `host` reports that it is in a group that has ended.
pub(super) fn is_stale_member(host: &HostRecord, state: &FleetState) -> bool {
    let membership = host.heartbeat.report.mark.as_ref();
    membership.is_some_and(|membership| !state.groups().contains_key(&membership.group))
}

/// Orders that release endpoints from ended groups, at most `capacity`.
pub(super) fn release_orders(
    now: TimePoint,
    hosts: &mut HostTable,
    state: &FleetState,
    capacity: usize,
) -> Vec<OrderCall> {
    let mut calls = Vec::new();
    for (id, host) in hosts.iter_mut() {
        if calls.len() >= capacity {
            break;
        }
        if host.is_lost() || !is_stale_member(host, state) {
            continue;
        }
        let Some(membership) = &host.heartbeat.report.mark else { continue };
        let group = membership.group;
        let order = match membership.state {
            MemberState::Open | MemberState::Closing => {
                EndpointOrder::Close { group, method: CloseMethod::Truncate }
            }
            MemberState::Joining | MemberState::Ready | MemberState::Broken => {
                EndpointOrder::Leave { group }
            }
        };
        let is_pending = host
            .release_order
            .as_ref()
            .is_some_and(|(last, at)| *last == order && now.since(*at) < RELEASE_RETRY_INTERVAL);
        if !is_pending {
            host.release_order = Some((order.clone(), now));
            calls.push(OrderCall {
                id: id.clone(),
                address: host.heartbeat.address.clone(),
                order,
            });
        }
    }
    calls
}
