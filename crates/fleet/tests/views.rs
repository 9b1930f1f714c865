//! What entries are told: views, updates of them, and who is worth listening to.

use briartray_fleet::entry::{AnswerWait, TargetTable};
use briartray_fleet::message::{
    EndpointView, EntryNotice, FleetView, GroupView, ViewHistory, ViewUpdate, ViewVersion,
};
use briartray_model::names::{GroupId, IncarnationId, ServiceName, TermNumber, ZoneName};
use briartray_model::{TimePoint, codec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Groups of a large fleet.
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

/// `view` with some groups gone, closed, or new, as the next one.
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

/// A hundred entries before 375 groups are told each time that one of them opens or closes. Whole views
/// filled the links of the leader: 50 KB to each of them, dozens of times a second.
#[test]
fn one_changed_group_takes_little_room() {
    let mut history = ViewHistory::default();
    history.push(view(1));
    let mut next = view(2);
    next.groups[7].open = false;
    history.push(next);

    let update = history.update_for(Some(version(1)), false).expect("there is something to tell");

    let (one, all) = (encoded(&update), encoded(&history.newest().expect("pushed").whole()));
    assert!(one * 100 < all, "{one} of {all} bytes");
}

fn encoded(update: &ViewUpdate) -> usize {
    codec::encode(update).expect("an update encodes").len()
}

/// Entries are told of changes at different moments: some have missed one, some five, some all. Whatever
/// an entry held, it ends with the newest view.
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
            let reached = update.map_or(Some(old.clone()), |update| old.updated(update));
            assert_eq!(reached.as_ref(), Some(&newest), "seed {seed}, from {:?}", old.version);
        }
    }
}

/// An entry lost its stream in the middle of a change, and the next one tells of a view that it never had.
/// Taken for its own it would name groups that have ended; it asks for the whole view instead.
#[test]
fn an_update_of_another_view_is_not_taken() {
    let mut table = TargetTable::new(ZoneName::new("zone-a"), 1);
    table.adopt(TimePoint(0), view(1));
    let mut history = ViewHistory::default();
    history.push(view(2));
    let mut next = view(3);
    next.groups.truncate(10);
    history.push(next);

    table.update(
        TimePoint(0),
        history.update_for(Some(version(2)), false).expect("there is something to tell"),
    );
    let asks = table.version();
    table
        .update(TimePoint(0), history.update_for(None, false).expect("there is something to tell"));

    assert_eq!(asks, ViewVersion::default());
    assert_eq!(table.version(), version(3));
}

/// Guards against an entry that loses what it knows to a new leader which has heard of a part of the groups only: it
/// is told nothing until that leader has heard of all, and then everything.
#[test]
fn a_holder_of_a_settled_view_is_told_no_partial_one() {
    let mut history = ViewHistory::default();
    let held = ViewVersion { term: TermNumber(0), number: 9 };
    history.push(FleetView { partial: true, ..view(1) });
    let early = history.update_for(Some(held), true);
    history.push(view(2));

    let update = history.update_for(Some(held), true).expect("there is something to tell");

    assert_eq!(early, None);
    assert_eq!(update.base, None);
}

/// Entries before the fleet, and groups of it.
const SIZES: [(usize, u64); 2] = [(129, 152), (258, 304)];

/// Guards against a new leader that tells every entry the whole of each view while it hears of its endpoints: that
/// grows with entries, groups and views, and its heartbeats wait behind it.
#[test]
fn a_new_leader_tells_each_entry_one_whole_view() {
    for (entries, groups) in SIZES {
        let mut history = ViewHistory::default();
        // After a stop of everything entries hold nothing.
        let mut held: Vec<Option<ViewVersion>> = vec![None; entries];
        let mut told = 0;
        for number in 1..=12 {
            let heard = groups * number / 12;
            let opened = |id| group(id, id <= heard);
            let groups = (1..=groups).map(opened).collect();
            let partial = number < 12;
            history.push(FleetView { version: version(number), groups, partial, ..view(number) });
            for entry in &mut held {
                let update = history.update_for(*entry, false).expect("each view is new");
                *entry = Some(update.version);
                told += encoded(&update);
            }
        }

        let whole = encoded(&history.newest().expect("pushed").whole());
        // Each group changes once beside the whole view.
        assert!(
            told <= entries * whole * 5 / 2,
            "{told} bytes, {} for one whole each",
            entries * whole
        );
    }
}

/// A notice of a control host that does not lead and knows no leader, or of one that `leads`.
fn notice(leads: bool, nonce: Option<u64>) -> EntryNotice {
    EntryNotice { nonce, leads, ..EntryNotice::default() }
}

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

/// A control host is cut off from the others, and an entry that reports to it still reaches it. It answers
/// each report that it knows no leader. The entry stayed there for seconds, under rules that had been
/// replaced, while another host led; callers were handled by what was no longer in force.
#[test]
fn a_host_that_knows_no_leader_is_left() {
    let mut wait = AnswerWait::new(at(0));

    for report in 1..10 {
        wait.asked(at(report * 80));
        wait.heard(&notice(false, None));
    }

    assert!(wait.is_over(at(720)));
}

/// A leader hands out a large declaration one entry after the other, and answers those that lack it without
/// a lease meanwhile. They stay, since it leads; one that goes silent is left.
#[test]
fn a_leader_that_has_any_word_is_kept() {
    let mut wait = AnswerWait::new(at(0));

    wait.asked(at(10));
    wait.heard(&notice(true, None));
    let kept = !wait.is_over(at(2_000));
    wait.asked(at(2_000));
    let patient = !wait.is_over(at(2_600));

    assert!(kept && patient);
    assert!(wait.is_over(at(2_700)));
}

/// All machines lose power and start again one after the other. A control host that has no power yet answers
/// nothing at all; an entry that waited for it refused callers although a leader was up, which the next host
/// could have named. The second time round the same host is waited for longer, as its answer may come from
/// a far region.
#[test]
fn a_host_without_power_is_left_for_the_next_one() {
    let first = AnswerWait::searching(at(0), 0);
    let third = AnswerWait::searching(at(0), 2);

    assert!(!first.is_over(at(50)) && first.is_over(at(60)));
    assert!(!third.is_over(at(230)) && third.is_over(at(240)));
}

/// A host that was found in a search is up and knows no leader, since there is none yet. Left at once, it would
/// be asked again only after all others; it names the leader as soon as one is elected.
#[test]
fn a_host_that_gives_a_word_is_waited_for() {
    let mut wait = AnswerWait::searching(at(0), 0);

    wait.asked(at(10));
    wait.heard(&notice(false, None));

    assert!(!wait.is_over(at(690)));
    assert!(wait.is_over(at(700)));
}
