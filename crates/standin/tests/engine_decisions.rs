//! Tests of the batch, the prefix cache and the orders of the stand-in engine.

use std::time::Duration;

use briartray_standin::engine::batch::BatchQueue;
use briartray_standin::engine::cache::{PrefixCache, block_hashes};
use briartray_standin::engine::orders::{EngineOrder, OrderBook, OrderKind};

const DELAY: Duration = Duration::from_millis(100);

fn order(fencing: u64) -> EngineOrder {
    EngineOrder { kind: OrderKind::SetRole, name: "decode".to_owned(), fencing }
}

#[test]
fn batch_takes_priority_then_arrival() {
    let mut queue = BatchQueue::new(2);
    queue.submit(1, 100, 1);
    queue.submit(2, 200, 1);
    queue.submit(3, 100, 1);

    let (first, second) = (queue.step(), queue.step());

    assert_eq!((first.started, second.started), (vec![2, 1], vec![3]));
}

#[test]
fn running_requests_get_one_token_each_step() {
    let mut queue = BatchQueue::new(8);
    queue.submit(1, 100, 2);
    queue.submit(2, 100, 1);

    let (first, second) = (queue.step(), queue.step());

    assert_eq!(first.decoded.len(), 2);
    assert_eq!(second.decoded.iter().map(|token| token.number).collect::<Vec<_>>(), vec![1]);
    assert_eq!((queue.running(), queue.waiting()), (0, 0));
}

#[test]
fn shared_prefix_is_read_once_and_memory_is_bounded() {
    let mut cache = PrefixCache::new(4, DELAY, 0.0, 1);
    let prompt = "x".repeat(128);

    let unread = (
        cache.read_prompt(Duration::ZERO, &prompt),
        cache.read_prompt(Duration::ZERO, &format!("{prompt}tail")),
    );
    cache.read_prompt(Duration::ZERO, &"y".repeat(1024));

    assert_eq!(unread, (32, 1));
    assert_eq!(cache.len(), 4);
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    // Events of a busy engine are late or lost. A reader that takes a lost event for "not cached"
    // would never route the prompt here again; the gap in the sequence numbers reveals the loss.
    let mut cache = PrefixCache::new(100, DELAY, 0.5, 7);
    cache.read_prompt(Duration::ZERO, &"z".repeat(64 * 20));

    let early = cache.events_after(DELAY / 2, 0);
    let late = cache.events_after(DELAY, 0);

    assert!(early.is_empty());
    assert!(!late.is_empty() && late.len() < 20);
    assert!(late.windows(2).any(|pair| pair[1].sequence > pair[0].sequence + 1));
}

#[test]
fn damaged_blob_is_not_imported() {
    // Answers computed from a truncated blob, or from that of another prefix, would be wrong.
    let mut source = PrefixCache::new(10, DELAY, 0.0, 1);
    let prompt = "w".repeat(64);
    source.read_prompt(Duration::ZERO, &prompt);
    let prefix = block_hashes(&prompt)[0];
    let blob = source.export_blob(prefix).expect("the prefix is cached");
    let mut target = PrefixCache::new(10, DELAY, 0.0, 1);

    let damaged = target.import_blob(Duration::ZERO, prefix, &blob[1..]);
    let whole = target.import_blob(Duration::ZERO, prefix, &blob);

    assert_eq!((damaged, whole), (false, true));
    assert_eq!(target.read_prompt(Duration::ZERO, &prompt), 0);
}

#[test]
fn old_fencing_number_is_refused_only_where_it_is_checked() {
    // An order of a former owner arrives after one of the new owner. An engine that checks fencing
    // numbers refuses it; for an engine that does not, only its agent can hold the order back.
    let mut checking = OrderBook::new(true);
    let mut ignoring = OrderBook::new(false);

    let taken: Vec<bool> = [&mut checking, &mut ignoring]
        .into_iter()
        .map(|book| book.accept(&order(5)).is_ok() && book.accept(&order(4)).is_ok())
        .collect();

    assert_eq!(taken, vec![false, true]);
}
