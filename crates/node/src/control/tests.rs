//! How a new leader shows groups whose agents have not reported to it yet, and how a failure of the
//! role is told.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use briartray_control::state::{CommandOutcome, GroupProposal, GroupRegistry};
use briartray_model::TimePoint;
use briartray_model::message::{AgentReport, GroupMember, HostAnnouncement};
use briartray_model::names::{
    DomainName, FencingNumber, GroupId, HostName, ProviderName, ServiceName, TermNumber, ZoneName,
};

use super::core::RECONNECT_GRACE;
use super::fleet::FleetRoster;
use super::input::SessionId;
use super::shared::ControlShared;
use super::version::SnapshotVersion;

const START: TimePoint = TimePoint(5_000_000);

fn link() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9))
}

fn registry() -> (GroupRegistry, GroupId, FencingNumber) {
    let mut registry = GroupRegistry::default();
    let member = |host: &str| GroupMember { host: HostName::new(host), link: link() };
    let formed = registry.form(&GroupProposal {
        service: ServiceName::new("desk"),
        zone: ZoneName::new("a"),
        domain: DomainName::new("rack"),
        provider: ProviderName::new("old"),
        members: vec![member("h1"), member("h2")],
        capacity: 4,
    });
    let CommandOutcome::GroupFormed { group, fencing } = formed else { panic!("{formed:?}") };
    (registry, group, fencing)
}

fn announcement(host: &str) -> AgentReport {
    AgentReport::Announce(HostAnnouncement {
        host: HostName::new(host),
        zone: ZoneName::new("a"),
        domain: DomainName::new("rack"),
        provider: ProviderName::new("old"),
        service: ServiceName::new("desk"),
        accelerators: 8,
        link: link(),
        checks_fencing: false,
        incarnation: 1,
        leaving: false,
    })
}

fn shows_whole(roster: &FleetRoster, registry: &GroupRegistry) -> bool {
    roster.records(registry)[0].whole
}

fn new_leader(registry: &GroupRegistry) -> FleetRoster {
    let mut roster = FleetRoster::default();
    roster.await_reports(registry);
    roster.expire_awaited(START, registry);
    roster
}

#[test]
fn group_counts_as_whole_until_its_first_host_reports() {
    // Right after a change of leader no agent has reported yet. If the snapshot showed every group
    // as broken, entries would refuse all requests although all replicas serve.
    let (registry, group, fencing) = registry();
    let mut roster = new_leader(&registry);

    let whole_before_report = shows_whole(&roster, &registry);
    let report = AgentReport::GroupState { group, fencing, whole: false, missing: Vec::new() };
    let changed = roster.handle_report(START, SessionId(1), report);

    assert!(whole_before_report);
    assert!(changed);
    assert!(!shows_whole(&roster, &registry));
}

#[test]
fn reconnected_first_host_without_a_report_ends_the_wait() {
    // The first host's agent has restarted and no longer leads the group. Entries should not have
    // to wait for the whole grace period to learn that the group does not serve.
    let (registry, ..) = registry();
    let mut roster = new_leader(&registry);
    roster.handle_report(START, SessionId(1), announcement("h1"));

    let early = roster.expire_awaited(START.after(Duration::from_millis(500)), &registry);
    let late = roster.expire_awaited(START.after(Duration::from_millis(1500)), &registry);

    assert_eq!((early, late), (false, true));
    assert!(!shows_whole(&roster, &registry));
}

#[test]
fn silent_group_is_broken_after_the_reconnect_grace() {
    // All hosts of a group failed together with the old leader. Entries must not be shown the
    // group as whole forever.
    let (registry, ..) = registry();
    let mut roster = new_leader(&registry);

    let before = roster.expire_awaited(START.after(RECONNECT_GRACE / 2), &registry);
    let whole_before = shows_whole(&roster, &registry);
    let after = roster.expire_awaited(START.after(RECONNECT_GRACE), &registry);

    assert_eq!((before, whole_before, after), (false, true, true));
    assert!(!shows_whole(&roster, &registry));
}

#[test]
fn versions_of_a_later_leader_are_higher() {
    // Entries compare snapshots by version number. If two leaders used the same number, an entry
    // would keep the old leader's groups.
    let mut old = SnapshotVersion::first_of(TermNumber(4));
    for _ in 0..100_000 {
        old.bump();
    }

    let new = SnapshotVersion::first_of(TermNumber(5));

    assert!(new.number() > old.number());
}

/// Guards against a role that ends the process which embeds it by a signal, and against a later
/// error that hides the first one.
#[test]
fn a_failed_role_tells_its_owner_once_with_the_first_error() {
    let (failed, failures) = crossbeam::channel::bounded(1);
    let shared = ControlShared::new(failed);

    shared.fail("the disk is full");
    shared.fail("the state cannot be decoded");

    assert_eq!(shared.failure(), Some("the disk is full"));
    assert_eq!(failures.try_iter().count(), 1);
}
