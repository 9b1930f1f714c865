//! What entries receive: fleet views, updates of them, and which control host they listen to.

use briartray_fleet::entry::{AnswerTimeout, TargetTable};
use briartray_fleet::message::{
    EndpointView, EntryNotice, FleetView, GroupView, ViewHistory, ViewUpdate, ViewVersion,
};
use briartray_model::names::{GroupId, IncarnationId, ServiceName, TermNumber, ZoneName};
use briartray_model::{TimePoint, codec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of groups in a large fleet.
const GROUPS: u64 = 375;

fn version(number: u64) -> ViewVersion {
    ViewVersion { term: TermNumber(3), number }
}

fn group(number: u64, open: bool) -> GroupView {
    GroupView {
        group: GroupId(number),
        service: ServiceName::new("desk"),
        model: "large".to_owned(),
        head: IncarnationId::new(&format!("i-{number:08}")),
        address: format!("10.0.{}.{}:8080", number / 250, number % 250),
        zone: ZoneName::new("zone-a"),
        open,
        cold: None,
    }
}

fn endpoint(number: u64) -> EndpointView {
    EndpointView {
        id: IncarnationId::new(&format!("plain-{number}")),
        service: ServiceName::new("ledger"),
        address: format!("10.1.0.{number}:8080"),
        zone: ZoneName::new("zone-a"),
        slots: 6,
        cold: None,
    }
}

fn view(number: u64) -> FleetView {
    FleetView {
        version: version(number),
        endpoints: (0..5).map(endpoint).collect(),
        groups: (0..GROUPS).map(|number| group(number, true)).collect(),
        entries: 100,
        partial: false,
    }
}

/// The next view after `view`, with some groups and endpoints removed, some groups changed, and one
/// added.
fn changed(view: &FleetView, random: &mut ChaCha8Rng) -> FleetView {
    let mut next = FleetView { version: version(view.version.number + 1), ..view.clone() };
    next.groups.retain(|_| random.random_range(0..20) > 0);
    for group in &mut next.groups {
        group.open ^= random.random_range(0..20) == 0;
    }
    let newest = next.groups.last().map_or(0, |group| group.group.0);
    next.groups.push(group(newest + 1, false));
    next.endpoints.retain(|_| random.random_range(0..10) > 0);
    next
}

/// A hundred entries in front of 375 groups are sent each time that one group opens or closes.
/// Whole views filled the links of the leader: 50 KB to each entry, dozens of times a second.
#[test]
fn an_update_of_one_group_is_small() {
    let mut history = ViewHistory::default();
    history.push(view(1));
    let mut next = view(2);
    next.groups[7].open = false;
    history.push(next);

    let update = history.update_for(Some(version(1)), false).expect("an update is due");

    let (one, all) = (encoded(&update), encoded(&history.newest().expect("pushed").whole()));
    assert!(one * 100 < all, "{one} of {all} bytes");
}

fn encoded(update: &ViewUpdate) -> usize {
    codec::encode(update).expect("an update encodes").len()
}

/// Entries receive changes at different times: some missed one, some five, some all. From any view
/// that an entry held, the update must lead to the newest one.
#[test]
fn seeded_updates_bring_every_holder_to_the_newest_view() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut history = ViewHistory::default();
        let mut held = vec![FleetView::default()];
        let mut newest = view(1);
        for _ in 0..12 {
            history.push(newest.clone());
            held.push(newest.clone());
            newest = changed(&newest, &mut random);
        }
        let newest = history.newest().expect("pushed").clone();

        for old in held {
            let update = history.update_for(Some(old.version), false);
            let reached = update.map_or(Some(old.clone()), |update| old.with_update(update));
            assert_eq!(reached.as_ref(), Some(&newest), "seed {seed}, from {:?}", old.version);
        }
    }
}

/// An entry lost its stream during a change, and the next update is for a view that it never had.
/// Applied to its own view, the update would list groups that have ended; the entry must ask for
/// the whole view.
#[test]
fn an_update_of_another_view_is_not_applied() {
    let mut table = TargetTable::new(ZoneName::new("zone-a"), 1);
    table.adopt(TimePoint(0), view(1));
    let mut history = ViewHistory::default();
    history.push(view(2));
    let mut next = view(3);
    next.groups.truncate(10);
    history.push(next);

    table.update(
        TimePoint(0),
        history.update_for(Some(version(2)), false).expect("an update is due"),
    );
    let asks = table.version();
    table.update(TimePoint(0), history.update_for(None, false).expect("an update is due"));

    assert_eq!(asks, ViewVersion::default());
    assert_eq!(table.version(), version(3));
}

/// Guards against an entry that loses its knowledge to a new leader that has heard from only a part
/// of the groups. It must get no update until that leader has heard from all, and then a whole
/// view.
#[test]
fn a_holder_of_a_complete_view_gets_no_partial_one() {
    let mut history = ViewHistory::default();
    let held = ViewVersion { term: TermNumber(0), number: 9 };
    history.push(FleetView { partial: true, ..view(1) });
    let early = history.update_for(Some(held), true);
    history.push(view(2));

    let update = history.update_for(Some(held), true).expect("an update is due");

    assert_eq!(early, None);
    assert_eq!(update.base, None);
}

/// Numbers of entries and groups.
const SIZES: [(usize, u64); 2] = [(129, 152), (258, 304)];

/// Guards against a new leader that sends every entry a whole view each time it hears from more
/// endpoints: that grows with entries, groups and views, and delays its heartbeats.
#[test]
fn a_new_leader_sends_each_entry_one_whole_view() {
    for (entries, groups) in SIZES {
        let mut history = ViewHistory::default();
        // After a restart of the whole deployment, entries hold no view.
        let mut held: Vec<Option<ViewVersion>> = vec![None; entries];
        let mut sent = 0;
        for number in 1..=12 {
            let reported = groups * number / 12;
            let opened = |id| group(id, id <= reported);
            let groups = (1..=groups).map(opened).collect();
            let partial = number < 12;
            history.push(FleetView { version: version(number), groups, partial, ..view(number) });
            for entry in &mut held {
                let update = history.update_for(*entry, false).expect("each view is new");
                *entry = Some(update.version);
                sent += encoded(&update);
            }
        }

        let whole = encoded(&history.newest().expect("pushed").whole());
        // Besides the whole view, each group changes once.
        assert!(
            sent <= entries * whole * 5 / 2,
            "{sent} bytes; one whole view for each entry is {}",
            entries * whole
        );
    }
}

/// A notice of a leader if `leads`, otherwise of a control host that knows no leader.
fn notice(leads: bool, nonce: Option<u64>) -> EntryNotice {
    EntryNotice { nonce, leads, ..EntryNotice::default() }
}

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

/// A control host is cut off from the others, but still reachable for an entry, and answers each
/// report that it knows no leader. The entry stayed with it for seconds, under rules that had been
/// replaced, although another host led.
#[test]
fn a_host_that_knows_no_leader_is_left() {
    let mut wait = AnswerTimeout::new(at(0));

    for report in 1..10 {
        wait.report_sent(at(report * 80));
        wait.response_received(&notice(false, None));
    }

    assert!(wait.is_expired(at(720)));
}

/// A leader sends a large plan to one entry after the other, and meanwhile answers those that lack
/// it without granting a lease. They must stay with it, since it leads, but leave it if it goes
/// silent.
#[test]
fn a_leader_that_sends_any_notice_is_kept() {
    let mut wait = AnswerTimeout::new(at(0));

    wait.report_sent(at(10));
    wait.response_received(&notice(true, None));
    let kept = !wait.is_expired(at(2_000));
    wait.report_sent(at(2_000));
    let patient = !wait.is_expired(at(2_600));

    assert!(kept && patient);
    assert!(wait.is_expired(at(2_700)));
}

/// All machines lose power and restart one after the other. A control host without power does not
/// answer at all. An entry that waited for it refused callers although a leader was up, which the
/// next host could have named. In a later round the entry must wait longer for the same host, as
/// its answer may come from a distant region.
#[test]
fn a_host_without_power_is_left_for_the_next_one() {
    let first = AnswerTimeout::searching(at(0), 0);
    let third = AnswerTimeout::searching(at(0), 2);

    assert!(!first.is_expired(at(50)) && first.is_expired(at(60)));
    assert!(!third.is_expired(at(230)) && third.is_expired(at(240)));
}

/// A host found in a search is up but knows no leader, since there is none yet. If the entry left
/// it at once, it would return to it only after all others; the host names the leader as soon as
/// one is elected.
#[test]
fn a_host_that_sends_a_notice_is_waited_for() {
    let mut wait = AnswerTimeout::searching(at(0), 0);

    wait.report_sent(at(10));
    wait.response_received(&notice(false, None));

    assert!(!wait.is_expired(at(690)));
    assert!(wait.is_expired(at(700)));
}
