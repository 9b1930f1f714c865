//! What entries see of groups that the control hosts cannot reach.

use std::time::Duration;

use briartray_fleet::director::PulseBook;
use briartray_fleet::message::GroupPulse;
use briartray_model::TimePoint;
use briartray_model::names::{GroupId, NodeName};

const GROUP: GroupId = GroupId(7);

/// Silence after which a group of four hosts most likely stands still.
const LIMIT: Duration = Duration::from_millis(416);

fn at(millis: u64) -> TimePoint {
    TimePoint(10_000_000 + millis * 1_000)
}

fn tell(book: &mut PulseBook, now: TimePoint, entry: &str, quiet_ms: u64, suspect: bool) {
    let pulse = GroupPulse { group: GROUP, quiet_ms: Some(quiet_ms), running: 1, suspect };
    book.take(now, &NodeName::new(entry), &pulse);
}

/// Endpoints are cut off from the control hosts and from the entries beside them, and serve the
/// callers of all other entries. An entry reports four times a second and a loaded group pauses for
/// up to 280 ms, so its last byte may be half a second old when the leader looks; the group was
/// taken apart then, while callers were served by it.
#[test]
fn an_entry_that_is_served_keeps_a_group() {
    let mut book = PulseBook::default();

    tell(&mut book, at(0), "cut-off", 900, true);
    tell(&mut book, at(10), "served", 270, false);

    assert!(book.is_moving(at(255), GROUP, LIMIT));
    assert!(!book.is_suspect(at(255), GROUP, LIMIT));
}

/// A member dies. Every entry with a request on the group finds it silent and says so at once, which
/// takes back what it said before.
#[test]
fn entries_that_find_silence_take_their_word_back() {
    let mut book = PulseBook::default();
    tell(&mut book, at(0), "a", 20, false);
    tell(&mut book, at(50), "b", 30, false);

    tell(&mut book, at(420), "a", 440, true);
    tell(&mut book, at(425), "b", 405, true);

    assert!(!book.is_moving(at(430), GROUP, LIMIT));
    assert!(book.is_suspect(at(430), GROUP, LIMIT));
}

/// An entry ends. What it said last is no proof for long.
#[test]
fn words_grow_old() {
    let mut book = PulseBook::default();

    tell(&mut book, at(0), "gone", 10, false);

    assert!(book.is_moving(at(300), GROUP, LIMIT));
    assert!(!book.is_moving(at(360), GROUP, LIMIT));
}
