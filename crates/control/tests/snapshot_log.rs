//! Tests that applying changes yields the same snapshot as sending it in full.

use briartray_control::snapshots::SnapshotLog;
use briartray_model::codec::encode;
use briartray_model::message::{GroupRecord, LeavingGroup, RoutingSnapshot, SnapshotUpdate};
use briartray_model::names::{FencingNumber, GroupId, RevisionNumber};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 30;
const STEPS: u64 = 600;
const ENTRIES: usize = 5;

fn record(group: u64, fencing: u64, whole: bool) -> GroupRecord {
    GroupRecord {
        group: GroupId(group),
        fencing: FencingNumber(fencing),
        service: "desk".into(),
        zone: "zone-1".into(),
        domain: "rack-1".into(),
        provider: "local".into(),
        first: "host-1".into(),
        link: ([127, 0, 0, 1], 7000).into(),
        incarnation: 1,
        whole,
        capacity: 8,
    }
}

/// Changes `snapshot` at random: groups are added, removed and changed, and rules change.
fn change(snapshot: &mut RoutingSnapshot, random: &mut ChaCha8Rng) {
    snapshot.version += random.random_range(1..4);
    let group = random.random_range(0..20);
    let known = snapshot.groups.binary_search_by_key(&GroupId(group), |record| record.group);
    match (known, random.random_range(0..6)) {
        (Ok(position), 0..=1) => drop(snapshot.groups.remove(position)),
        (Ok(position), 2..=4) => snapshot.groups[position].whole ^= true,
        (Err(position), 0..=4) => snapshot.groups.insert(position, record(group, 1, false)),
        _ => {
            snapshot.revision = snapshot.revision.next();
            snapshot.rules = format!("# revision {}", snapshot.revision);
            snapshot.leaving = vec![LeavingGroup { group: GroupId(group) }];
        }
    }
}

fn adopt(held: &RoutingSnapshot, update: Option<SnapshotUpdate>) -> RoutingSnapshot {
    match update {
        None => held.clone(),
        Some(SnapshotUpdate::Whole(whole)) => whole,
        Some(SnapshotUpdate::Changes(change)) => {
            held.after(&change).expect("changes start from the version that the entry holds")
        }
    }
}

#[test]
fn applied_changes_yield_the_newest_snapshot() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut log = SnapshotLog::default();
        let mut newest = RoutingSnapshot { version: 1, ..RoutingSnapshot::default() };
        log.push(newest.clone());
        let mut entries = vec![RoutingSnapshot::default(); ENTRIES];
        for _ in 0..STEPS {
            change(&mut newest, &mut random);
            log.push(newest.clone());
            let entry = random.random_range(0..ENTRIES * 3);
            if let Some(held) = entries.get_mut(entry) {
                *held = adopt(held, log.update(held.version));

                assert_eq!(*held, newest, "seed {seed}");
            }
        }
    }
}

#[test]
fn entry_of_another_leader_is_sent_the_whole_snapshot() {
    // The leader changes. The new leader's versions are not comparable with what an entry holds, so
    // changes must not be applied to it.
    let mut log = SnapshotLog::default();
    log.push(RoutingSnapshot { version: (2 << 32) + 1, ..RoutingSnapshot::default() });
    let mut next = RoutingSnapshot { version: (2 << 32) + 2, ..RoutingSnapshot::default() };
    next.revision = RevisionNumber(4);
    log.push(next.clone());

    let update = log.update((1 << 32) + 2);

    assert_eq!(update, Some(SnapshotUpdate::Whole(next)));
}

#[test]
fn one_changed_group_needs_few_bytes() {
    let groups = (0..2800).map(|group| record(group, 1, true)).collect();
    let whole = RoutingSnapshot { version: 1, groups, ..RoutingSnapshot::default() };
    let mut next = whole.clone();
    next.version = 2;
    next.groups[17].whole = false;
    let mut log = SnapshotLog::default();
    log.push(whole);
    log.push(next);

    let update = encode(&log.update(1)).expect("it encodes");

    assert!(update.len() < 200, "{} bytes", update.len());
}
