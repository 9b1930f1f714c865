//! Entries' observations of groups that the control hosts cannot reach.

use std::time::Duration;

use briartray_fleet::director::ActivityTracker;
use briartray_fleet::message::{GroupActivity, GroupLoad};
use briartray_model::TimePoint;
use briartray_model::names::{GroupId, NodeName};

const GROUP: GroupId = GroupId(7);

/// Silence after which a group of four hosts has most likely stopped.
const SILENCE_LIMIT: Duration = Duration::from_millis(416);

fn at(millis: u64) -> TimePoint {
    TimePoint(10_000_000 + millis * 1_000)
}

fn report(
    tracker: &mut ActivityTracker,
    now: TimePoint,
    entry: &str,
    quiet_ms: u64,
    suspect: bool,
) {
    let activity =
        GroupActivity { group: GROUP, quiet_ms: Some(quiet_ms), running: 1, suspect, unread_ms: 0 };
    tracker.take(now, &NodeName::new(entry), &[activity]);
}

/// Endpoints are cut off from the control hosts and from the entries near them, but serve the
/// callers of all other entries. An entry reports four times a second and a loaded group pauses for
/// up to 280 ms, so its last byte may be half a second old when the leader checks. The leader then
/// dissolved the group although it served callers.
#[test]
fn an_entry_that_is_served_keeps_a_group() {
    let mut tracker = ActivityTracker::default();

    report(&mut tracker, at(0), "cut-off", 900, true);
    report(&mut tracker, at(10), "served", 270, false);

    assert!(tracker.is_active(at(255), GROUP, SILENCE_LIMIT));
    assert!(!tracker.is_suspect(at(255), GROUP, SILENCE_LIMIT));
}

/// A member fails. Every entry with a request on the group detects the silence and reports it at
/// once, which must replace what the entry reported before.
#[test]
fn a_report_of_silence_replaces_earlier_reports() {
    let mut tracker = ActivityTracker::default();
    report(&mut tracker, at(0), "a", 20, false);
    report(&mut tracker, at(50), "b", 30, false);

    report(&mut tracker, at(420), "a", 440, true);
    report(&mut tracker, at(425), "b", 405, true);

    assert!(!tracker.is_active(at(430), GROUP, SILENCE_LIMIT));
    assert!(tracker.is_suspect(at(430), GROUP, SILENCE_LIMIT));
}

/// An entry ends. Its last report must expire soon.
#[test]
fn reports_expire() {
    let mut tracker = ActivityTracker::default();

    report(&mut tracker, at(0), "gone", 10, false);

    assert!(tracker.is_active(at(300), GROUP, SILENCE_LIMIT));
    assert!(!tracker.is_active(at(360), GROUP, SILENCE_LIMIT));
}

/// An entry knows its own requests on a group, but little of those of other entries. The leader
/// must sum up the reports of all entries, so that none sends to a group that others have filled.
#[test]
fn the_requests_of_the_other_entries_are_added_up() {
    let mut tracker = ActivityTracker::default();
    let running = |running| GroupActivity {
        group: GROUP,
        quiet_ms: None,
        running,
        suspect: false,
        unread_ms: 0,
    };
    let [first, second, third] = ["first", "second", "third"].map(NodeName::new);

    tracker.take(at(0), &first, &[running(5)]);
    tracker.take(at(0), &second, &[running(7)]);
    tracker.take(at(250), &first, &[running(2)]);

    assert_eq!(
        tracker.loads_of_others(&first, 0),
        [GroupLoad { group: GROUP, others: 7, unread_ms: 0 }]
    );
    assert_eq!(
        tracker.loads_of_others(&third, 0),
        [GroupLoad { group: GROUP, others: 9, unread_ms: 0 }]
    );
    tracker.forget(&second);
    assert_eq!(
        tracker.loads_of_others(&third, 0),
        [GroupLoad { group: GROUP, others: 2, unread_ms: 0 }]
    );
}

/// The loads of 2,800 groups, the design size, do not fit into each answer. They must be sent in
/// turns, without leaving any out.
#[test]
fn the_loads_of_many_groups_are_sent_in_turns() {
    let mut tracker = ActivityTracker::default();
    let [sender, reader] = ["sender", "reader"].map(NodeName::new);
    let activity = |group| GroupActivity {
        group: GroupId(group),
        quiet_ms: None,
        running: 1,
        suspect: false,
        unread_ms: 0,
    };
    let activities: Vec<GroupActivity> = (0..2_800).map(activity).collect();
    tracker.take(at(0), &sender, &activities);

    // Four answers per second for three seconds.
    let sent: Vec<Vec<GroupLoad>> =
        (5..17).map(|turn| tracker.loads_of_others(&reader, turn)).collect();

    let mut groups: Vec<GroupId> = sent.iter().flatten().map(|load| load.group).collect();
    groups.sort();
    groups.dedup();
    assert_eq!(groups.len(), 2_800);
    assert!(sent.iter().all(|loads| loads.len() <= 300), "none of them is large");
}

/// The reports of an entry are lost for two seconds, in which its requests on a group end, and its
/// next report does not list the group. The old count was kept, and other entries avoided the group
/// as full.
#[test]
fn a_group_that_an_entry_no_longer_reports_has_none_of_its_requests() {
    let mut tracker = ActivityTracker::default();
    let [removed, reader] = ["gone", "reader"].map(NodeName::new);
    let activity =
        GroupActivity { group: GROUP, quiet_ms: None, running: 28, suspect: false, unread_ms: 0 };
    tracker.take(at(0), &removed, &[activity]);

    tracker.take(at(2_250), &removed, &[]);

    assert_eq!(
        tracker.loads_of_others(&reader, 0),
        [GroupLoad { group: GROUP, others: 0, unread_ms: 0 }]
    );
}

/// Guards against an entry that returns after it was forgotten and is counted as another one, or
/// twice.
#[test]
fn an_entry_that_returns_is_counted_once() {
    let mut tracker = ActivityTracker::default();
    let running = |running| GroupActivity {
        group: GROUP,
        quiet_ms: None,
        running,
        suspect: false,
        unread_ms: 0,
    };
    let [first, second, reader] = ["first", "second", "reader"].map(NodeName::new);
    tracker.take(at(0), &first, &[running(5)]);
    tracker.take(at(0), &second, &[running(7)]);

    tracker.forget(&first);
    tracker.take(at(3_000), &first, &[running(3)]);
    tracker.take(at(3_250), &first, &[running(4)]);

    assert_eq!(
        tracker.loads_of_others(&reader, 0),
        [GroupLoad { group: GROUP, others: 11, unread_ms: 0 }]
    );
    assert_eq!(
        tracker.loads_of_others(&second, 0),
        [GroupLoad { group: GROUP, others: 4, unread_ms: 0 }]
    );
}
