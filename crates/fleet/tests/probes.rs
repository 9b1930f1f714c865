//! Probes of endpoints that get lost, or whose answers are not read in time.

use std::time::Duration;

use briartray_fleet::director::{EndpointHeartbeat, EndpointReport, HostTable, ProbeCall};
use briartray_model::TimePoint;
use briartray_model::names::{DomainName, IncarnationId, ServiceName, ZoneName};

/// Longest silence of a sound endpoint.
const SOUND_SILENCE: Duration = Duration::from_millis(1_200);

fn host() -> IncarnationId {
    IncarnationId::new("i-1")
}

/// A table with one probed host, and the time when its first probe is due.
fn probed_host() -> (HostTable, TimePoint) {
    let now = TimePoint(1_000_000);
    let mut table = HostTable::default();
    let report =
        EndpointReport { domain: Some(DomainName::new("domain-0")), ..EndpointReport::default() };
    let heartbeat = EndpointHeartbeat {
        id: host(),
        service: ServiceName::new("desk"),
        address: "10.0.0.1:80".to_owned(),
        zone: ZoneName::new("zone-a"),
        slots: 1,
        leaving: false,
        cold_ms: 0,
        sequence: 1,
        report,
    };
    table.heartbeat(now, heartbeat);
    (table, now.after(Duration::from_secs(1)))
}

fn due_probes(table: &mut HostTable, now: TimePoint) -> Vec<ProbeCall> {
    table.due_probes(now, |_| true)
}

/// A control host fails while it holds probes to send for the leader. The leader must soon repeat
/// these probes itself, and must not count the endpoints as silent.
#[test]
fn a_lost_probe_is_repeated() {
    let (mut table, now) = probed_host();
    let first = due_probes(&mut table, now);
    let meanwhile = due_probes(&mut table, now.after(Duration::from_millis(300)));

    let again = due_probes(&mut table, now.after(Duration::from_millis(700)));

    assert!(first.len() == 1 && !first[0].urgent && meanwhile.is_empty());
    assert!(again.len() == 1 && again[0].urgent);
    assert_eq!(table.get(&host()).map(|host| host.failures), Some(0));
}

/// Guards against a busy endpoint that counts as lost because it rejects probes, and that gets probes
/// in the time for which it accepts none, even if an entry finds its group silent.
#[test]
fn a_rejected_probe_is_no_failure_and_holds_probes_back() {
    let (mut table, now) = probed_host();
    let wait = Duration::from_secs(3);

    for _ in 0..5 {
        due_probes(&mut table, now);
        table.probe_rejected(now, &host(), wait);
    }
    table.probe_suspect(now.after(wait / 2), &host());
    let held = due_probes(&mut table, now.after(wait / 2));
    let after = due_probes(&mut table, now.after(wait));

    assert!(table.get(&host()).is_some_and(|host| !host.is_lost() && host.failures == 0));
    assert_eq!((held.len(), after.len()), (0, 1));
}

/// A control host that is short of processor time reads probe answers too late. That says nothing
/// about the endpoints; if they counted as lost, their groups would be dissolved.
#[test]
fn an_answer_that_was_read_too_late_is_no_failure() {
    let (mut table, now) = probed_host();

    for round in 0..5 {
        let now = now.after(Duration::from_millis(round * 200));
        assert_eq!(due_probes(&mut table, now).len(), 1);
        table.probe_unread(now, &host());
    }

    assert!(table.get(&host()).is_some_and(|host| !host.is_lost() && host.failures == 0));
}

/// Guards against ending the group of an endpoint that is silent for about a second and goes on, and
/// against waiting as long for one whose process is gone.
#[test]
fn refused_probes_are_a_loss_sooner_than_unanswered_ones() {
    let is_lost = |table: &HostTable| table.get(&host()).is_some_and(|host| host.is_lost());
    let (mut refusing, start) = probed_host();
    let (mut silent, _) = probed_host();
    let mut lost_after = None;

    for _ in 0..2 {
        assert!(!is_lost(&refusing));
        due_probes(&mut refusing, start);
        refusing.probe_refused(start, &host());
    }
    for step in 0..200 {
        let now = start.after(Duration::from_millis(step * 10));
        due_probes(&mut silent, now);
        silent.probed(now.after(Duration::from_millis(9)), &host(), None);
        if is_lost(&silent) {
            lost_after.get_or_insert(now.since(start));
        }
    }

    assert!(is_lost(&refusing));
    assert!(lost_after.is_some_and(|after| after >= SOUND_SILENCE), "{lost_after:?}");
}
