//! The leader's and the entries' view of rules leases against each other.
//!
//! A few entries and a line of leaders are stepped in one thread over a network that loses and
//! delays messages. Whenever a change is answered as accepted, no entry may decide under older
//! rules, now or later.

use std::time::Duration;

use briartray_control::lease::{HoldPolicy, HolderState, LeaseBook, LeaseHolder, LeaseTerms};
use briartray_model::TimePoint;
use briartray_model::names::{LeaseNonce, NodeName, RevisionNumber};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 4;
const STEPS: u64 = 4000;
const STEP: Duration = Duration::from_millis(50);
const SEEDS: u64 = 60;

/// A request or grant on its way.
#[derive(Debug, Clone, Copy)]
enum LeaseMessage {
    Ask { entry: usize, nonce: LeaseNonce, adopted: RevisionNumber },
    Grant { entry: usize, nonce: LeaseNonce, revision: RevisionNumber, terms: LeaseTerms },
}

/// One entry: its lease, and the revision under which it decides.
struct TestEntry {
    holder: LeaseHolder,
    adopted: RevisionNumber,
    cut_off_until: TimePoint,
}

/// Everything that is stepped.
struct TestFleet {
    random: ChaCha8Rng,
    now: TimePoint,
    terms: LeaseTerms,
    committed: RevisionNumber,
    accepted: RevisionNumber,
    book: LeaseBook,
    entries: Vec<TestEntry>,
    messages: Vec<(TimePoint, LeaseMessage)>,
    accepted_changes: u64,
}

fn name(entry: usize) -> NodeName {
    NodeName::new(&format!("entry-{entry}"))
}

/// An entry that has just started.
fn started(random: &mut ChaCha8Rng) -> TestEntry {
    let first = LeaseNonce(random.random());
    TestEntry {
        holder: LeaseHolder::new(first),
        adopted: RevisionNumber(0),
        cut_off_until: TimePoint::default(),
    }
}

fn registered(terms: LeaseTerms) -> Vec<(NodeName, LeaseTerms)> {
    (0..ENTRIES).map(|entry| (name(entry), terms)).collect()
}

fn terms(hold: HoldPolicy) -> LeaseTerms {
    LeaseTerms { lease: Duration::from_millis(3000), hold }
}

impl TestFleet {
    fn new(seed: u64, hold: HoldPolicy) -> Self {
        let now = TimePoint::default();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entries = (0..ENTRIES).map(|_| started(&mut random)).collect();
        Self {
            random,
            now,
            terms: terms(hold),
            committed: RevisionNumber(1),
            accepted: RevisionNumber(0),
            book: LeaseBook::new(now, &registered(terms(hold))),
            entries,
            messages: Vec::new(),
            accepted_changes: 0,
        }
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.random.random_range(0..one_in) == 0
    }

    fn post(&mut self, message: LeaseMessage) {
        if self.chance(5) {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(0..2500));
        self.messages.push((self.now.after(delay), message));
        if self.chance(10) {
            self.messages.push((self.now.after(2 * delay), message));
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        if self.chance(40) {
            self.committed = self.committed.next();
        }
        if self.chance(200) {
            self.book = LeaseBook::new(self.now, &registered(self.terms));
        }
        for entry in 0..ENTRIES {
            self.step_entry(entry);
        }
        self.deliver();
        self.accept();
        self.check();
    }

    fn step_entry(&mut self, entry: usize) {
        if self.chance(300) {
            self.entries[entry] = started(&mut self.random);
        }
        if self.chance(200) {
            let length = Duration::from_millis(self.random.random_range(1000..20_000));
            self.entries[entry].cut_off_until = self.now.after(length);
        }
        if self.chance(6) {
            let nonce = self.entries[entry].holder.start_renewal(self.now);
            let adopted = self.entries[entry].adopted;
            self.post(LeaseMessage::Ask { entry, nonce, adopted });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<LeaseMessage> = self
            .messages
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, message)| *message)
            .collect();
        self.messages.retain(|(at, _)| *at > now);
        for message in due {
            let (LeaseMessage::Ask { entry, .. } | LeaseMessage::Grant { entry, .. }) = message;
            if now < self.entries[entry].cut_off_until {
                continue;
            }
            match message {
                LeaseMessage::Ask { entry, nonce, adopted } => {
                    self.book.adopted(&name(entry), adopted);
                    let terms = self.book.grant(now, &name(entry)).expect("it is registered");
                    let revision = self.committed;
                    self.post(LeaseMessage::Grant { entry, nonce, revision, terms });
                }
                LeaseMessage::Grant { entry, nonce, revision, terms } => {
                    let entry = &mut self.entries[entry];
                    if entry.holder.accept_grant(nonce, terms) {
                        entry.adopted = entry.adopted.max(revision);
                    }
                }
            }
        }
    }

    fn accept(&mut self) {
        while self.accepted < self.committed && self.book.in_force(self.now, self.accepted.next()) {
            self.accepted = self.accepted.next();
            self.accepted_changes += 1;
        }
    }

    fn check(&self) {
        for (number, entry) in self.entries.iter().enumerate() {
            let decides = entry.holder.state(self.now) != HolderState::Lapsed;
            assert!(
                !decides || entry.adopted >= self.accepted,
                "entry {number} decides under {:?} after {:?} was accepted",
                entry.adopted,
                self.accepted
            );
        }
    }
}

/// Steps one fleet; returns how many changes were accepted.
fn run(seed: u64, hold: HoldPolicy) -> u64 {
    let mut fleet = TestFleet::new(seed, hold);
    for _ in 0..STEPS {
        fleet.step();
    }
    fleet.accepted_changes
}

#[test]
fn no_entry_decides_under_older_rules_after_acceptance() {
    // Renewals are lost, late and doubled, entries are cut off and restart, leaders change. A caller
    // must never be served under rules that were replaced by an accepted change.
    let accepted: u64 = (0..SEEDS).map(|seed| run(seed, HoldPolicy::BoundedMs(10_000))).sum();

    assert!(accepted > SEEDS, "only {accepted} changes were accepted");
}

#[test]
fn entry_that_holds_without_a_bound_keeps_changes_waiting() {
    // Under this policy an entry goes on for as long as it is cut off. A change must wait for it
    // until an operator vouches that it is gone.
    let policy = terms(HoldPolicy::UntilForgotten);
    let (now, much_later) = (TimePoint(0), TimePoint(3_600_000_000));
    let mut book = LeaseBook::new(now, &[(name(0), policy), (name(1), policy)]);
    book.adopted(&name(0), RevisionNumber(2));

    let waiting = book.waiting_for(much_later, RevisionNumber(2));
    book.forget(&name(1));

    assert_eq!(waiting, vec![name(1)]);
    assert!(book.in_force(much_later, RevisionNumber(2)));
}

#[test]
fn late_grant_counts_from_the_moment_of_asking() {
    // A grant lies in a queue for longer than the lease. Counted from its arrival it would let the
    // entry decide long after the leader stopped reckoning with it.
    let mut holder = LeaseHolder::new(LeaseNonce(7));
    let nonce = holder.start_renewal(TimePoint(0));
    let arrival = TimePoint(20_000_000);

    let taken = holder.accept_grant(nonce, terms(HoldPolicy::BoundedMs(10_000)));

    assert!(taken);
    assert_eq!(holder.state(arrival), HolderState::Lapsed);
}

#[test]
fn grant_to_an_earlier_request_is_timed_from_it() {
    // Two renewals are under way and only the older one is answered. Timed from the newer request
    // the lease would be held too long.
    let mut holder = LeaseHolder::new(LeaseNonce(7));
    let old = holder.start_renewal(TimePoint(0));
    let _new = holder.start_renewal(TimePoint(9_000_000));

    let taken = holder.accept_grant(old, terms(HoldPolicy::BoundedMs(10_000)));

    assert!(taken);
    assert_eq!(holder.state(TimePoint(9_500_000)), HolderState::Holding);
    assert_eq!(holder.state(TimePoint(10_000_000)), HolderState::Lapsed);
}

#[test]
fn late_grant_to_a_predecessor_is_not_taken() {
    // An entry restarts while a grant to it is still under way. Taken by the new process, the old
    // grant would bring rules back that were replaced since.
    let mut before = LeaseHolder::new(LeaseNonce(3_141));
    let late = before.start_renewal(TimePoint(0));
    let mut after = LeaseHolder::new(LeaseNonce(2_718));
    let _asked = after.start_renewal(TimePoint(0));

    let taken = after.accept_grant(late, terms(HoldPolicy::BoundedMs(10_000)));

    assert!(!taken);
    assert_eq!(after.state(TimePoint(1)), HolderState::Lapsed);
}

#[test]
fn new_leader_reckons_with_leases_of_the_old_one() {
    // The old leader granted a lease just before it was cut off. The new one has never heard from
    // the entry, which may still decide under the old rules.
    let elected = TimePoint(50_000_000);
    let book = LeaseBook::new(elected, &[(name(0), terms(HoldPolicy::BoundedMs(10_000)))]);

    let at_once = book.in_force(elected, RevisionNumber(2));
    let after_lease = book.in_force(elected.after(Duration::from_secs(10)), RevisionNumber(2));

    assert!(!at_once);
    assert!(after_lease);
}
