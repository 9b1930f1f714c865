//! What a new leader makes of groups whose agents it has not heard yet.

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
    roster.expect_groups(registry);
    roster.settle(START, registry);
    roster
}

#[test]
fn group_counts_as_whole_until_its_first_host_reports() {
    // Right after a change of leader no agent has reported. Entries that were shown every group
    // as broken would refuse all requests although every replica serves.
    let (registry, group, fencing) = registry();
    let mut roster = new_leader(&registry);

    let unheard = shows_whole(&roster, &registry);
    let report = AgentReport::GroupState { group, fencing, whole: false, missing: Vec::new() };
    let news = roster.report(START, SessionId(1), report);

    assert!(unheard);
    assert!(news);
    assert!(!shows_whole(&roster, &registry));
}

#[test]
fn first_host_that_is_back_without_a_report_ends_the_waiting() {
    // The first host's agent was restarted and leads no group any more. The others need not wait
    // the whole grace to learn that this group serves nothing.
    let (registry, ..) = registry();
    let mut roster = new_leader(&registry);
    roster.report(START, SessionId(1), announcement("h1"));

    let early = roster.settle(START.after(Duration::from_millis(500)), &registry);
    let late = roster.settle(START.after(Duration::from_millis(1500)), &registry);

    assert_eq!((early, late), (false, true));
    assert!(!shows_whole(&roster, &registry));
}

#[test]
fn group_that_stays_silent_is_broken_after_the_grace() {
    // All hosts of a group went away together with the leader. Entries must not be sent there
    // for ever.
    let (registry, ..) = registry();
    let mut roster = new_leader(&registry);

    let before = roster.settle(START.after(RECONNECT_GRACE / 2), &registry);
    let whole_before = shows_whole(&roster, &registry);
    let after = roster.settle(START.after(RECONNECT_GRACE), &registry);

    assert_eq!((before, whole_before, after), (false, true, true));
    assert!(!shows_whole(&roster, &registry));
}

#[test]
fn versions_of_a_later_leader_are_higher() {
    // An entry compares versions by number: with equal ones for different snapshots it would
    // keep the old leader's groups.
    let mut old = SnapshotVersion::first_of(TermNumber(4));
    for _ in 0..100_000 {
        old.bump();
    }

    let new = SnapshotVersion::first_of(TermNumber(5));

    assert!(new.number() > old.number());
}
