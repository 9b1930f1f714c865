//! An entry that a load balancer hands more connections than it can serve.

use std::time::Duration;

use briartray_fleet::entry::AcceptGate;

/// Interval between two measurements of the delay, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 50;

/// Time in which an answer has to begin, in milliseconds.
const TARGET_MS: f64 = 400.0;

/// Counts of a simulation.
#[derive(Debug, Default)]
struct GateCounts {
    accepted: u32,
    closed: u32,
    /// Accepted requests that waited for longer than the target.
    late: u32,
}

/// Simulates an entry for `seconds`: `offered` connections per second with a request each, of which
/// the processor serves `capacity` per second. Counts begin after three seconds.
fn simulate(offered: f64, capacity: f64, seconds: u64, is_gated: bool) -> GateCounts {
    let (mut gate, mut counts) = (AcceptGate::default(), GateCounts::default());
    let (mut queue, mut due) = (0.0_f64, 0.0);
    for now in 0..seconds * 1_000 {
        queue = (queue - capacity / 1e3).max(0.0);
        let delay_ms = queue / capacity * 1e3;
        if now.is_multiple_of(MEASURE_INTERVAL_MS) {
            gate.record_delay(Duration::from_secs_f64(delay_ms / 1e3));
        }
        due += offered / 1e3;
        while due >= 1.0 {
            due -= 1.0;
            let is_accepted = !is_gated || gate.admits();
            queue += f64::from(u8::from(is_accepted));
            if now >= 3_000 {
                counts.accepted += u32::from(is_accepted);
                counts.closed += u32::from(!is_accepted);
                counts.late += u32::from(is_accepted && delay_ms > TARGET_MS);
            }
        }
    }
    counts
}

/// Guards against an entry that accepts everything and answers all requests late, because it gets
/// the connections of a whole region.
#[test]
fn an_overloaded_entry_serves_what_it_accepts_in_time() {
    for factor in [1.5, 3.0, 10.0] {
        let ungated = simulate(400.0 * factor, 400.0, 20, false);
        let gated = simulate(400.0 * factor, 400.0, 20, true);

        assert!(ungated.late * 2 > ungated.accepted, "{factor}: {ungated:?}");
        assert!(gated.late * 20 <= gated.accepted, "{factor}: {gated:?}");
        // Half of what the processor serves in 17 s.
        assert!(f64::from(gated.accepted) >= 0.5 * 400.0 * 17.0, "{factor}: {gated:?}");
    }
}

/// Guards against connections that are closed without an overload.
#[test]
fn an_entry_that_is_not_overloaded_accepts_all_connections() {
    let counts = simulate(380.0, 400.0, 20, true);

    assert_eq!((counts.closed, counts.late), (0, 0), "{counts:?}");
}

/// Guards against connections that are closed because of a single pause, or of a processor with a
/// quota that stands still for a part of each tenth of a second.
#[test]
fn pauses_close_no_connections() {
    let mut gate = AcceptGate::default();

    gate.record_delay(Duration::from_secs(20));
    (0..100).for_each(|number| {
        gate.record_delay(Duration::from_millis(if number % 2 == 0 { 80 } else { 2 }));
    });

    assert_eq!(gate.part(), 1.0);
    assert!((0..100).all(|_| gate.admits()));
}

/// Guards against connections that are closed for long after an overload.
#[test]
fn all_connections_are_accepted_within_seconds_of_an_overload() {
    let mut gate = AcceptGate::default();
    (0..200).for_each(|_| gate.record_delay(Duration::from_millis(500)));
    let overloaded = gate.part();

    (0..80).for_each(|_| gate.record_delay(Duration::from_millis(2)));

    assert!(overloaded <= 0.05, "{overloaded}");
    assert_eq!(gate.part(), 1.0);
}

/// Guards against connections that are closed while long tasks follow one another, for example because
/// large configurations are applied, although the thread is idle between them.
#[test]
fn long_tasks_with_pauses_between_them_close_no_connections() {
    for (task_ms, interval_ms) in [(40, 100), (200, 300), (400, 500), (900, 1_000)] {
        let mut gate = AcceptGate::default();
        let mut due_ms = MEASURE_INTERVAL_MS;
        while due_ms < 20_000 {
            let task_left_ms = u64::saturating_sub(task_ms, due_ms % interval_ms);
            gate.record_delay(Duration::from_millis(task_left_ms));
            assert_eq!(gate.part(), 1.0, "{task_ms} ms of {interval_ms} ms");
            due_ms += task_left_ms + MEASURE_INTERVAL_MS;
        }
    }
}
