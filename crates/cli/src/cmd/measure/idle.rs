//! Cost of an idle follower: three agreement cores run in one thread on simulated time, and each
//! message is encoded to count its bytes.

use std::time::{Duration, Instant};

use briartray_control::agreement::{
    AgreementCore, AgreementSettings, AgreementTimes, FolderId, MemberRole, MembershipMode,
    PeerMessage, RecoveredState,
};
use briartray_model::names::NodeName;
use briartray_model::{TimePoint, codec};
use serde_json::{Value, json};

/// Simulated time over which the cost is measured.
const MEASURED_TIME: Duration = Duration::from_secs(120);

/// Simulated time before the measurement, in which a leader is elected.
const WARM_UP_TIME: Duration = Duration::from_secs(10);

const TICK_INTERVAL: Duration = Duration::from_millis(10);

const MEMBER_COUNT: usize = 3;

/// Totals over all followers.
#[derive(Debug, Default)]
struct IdleSums {
    messages_in: u64,
    bytes_in: u64,
    bytes_out: u64,
    core_time: Duration,
}

/// Messages, bytes and processor time of one idle follower per second.
pub(super) fn measure() -> Value {
    let mut now = TimePoint(1);
    let mut cores: Vec<AgreementCore> =
        (0..MEMBER_COUNT).map(|host| make_core(now, host)).collect();
    let mut in_flight: Vec<(usize, PeerMessage)> = Vec::new();
    let mut sums = IdleSums::default();
    let from = now.after(WARM_UP_TIME);
    let end = from.after(MEASURED_TIME);
    while now < end {
        now = now.after(TICK_INTERVAL);
        let due = std::mem::take(&mut in_flight);
        for (host, core) in cores.iter_mut().enumerate() {
            let inbox = due.iter().filter(|(to, _)| *to == host).map(|(_, message)| message);
            let (sent, spent) = step_core(core, now, inbox.clone());
            if now > from && core.role() == MemberRole::Follower {
                sums.messages_in += inbox.clone().count() as u64;
                sums.bytes_in += inbox.map(encoded_len).sum::<u64>();
                sums.bytes_out += sent.iter().map(|(_, message)| encoded_len(message)).sum::<u64>();
                sums.core_time += spent;
            }
            in_flight.extend(sent);
        }
    }
    let follower_seconds = MEASURED_TIME.as_secs() * (MEMBER_COUNT as u64 - 1);
    json!({
        "messages_in": sums.messages_in / follower_seconds,
        "bytes_in": sums.bytes_in / follower_seconds,
        "bytes_out": sums.bytes_out / follower_seconds,
        "core_micros": sums.core_time.as_micros() / u128::from(follower_seconds),
    })
}

fn make_core(now: TimePoint, host: usize) -> AgreementCore {
    let settings = AgreementSettings {
        node: node_name(host),
        folder: FolderId(host as u64),
        members: (0..MEMBER_COUNT).map(node_name).collect(),
        membership: MembershipMode::Fixed,
        times: AgreementTimes::default(),
        seed: host as u64,
    };
    AgreementCore::new(now, settings, RecoveredState::default())
}

/// Steps one core as the control thread does; writes are reported as synced immediately.
///
/// Returns the messages to send, each with the index of its recipient, and the time spent.
fn step_core<'a>(
    core: &mut AgreementCore,
    now: TimePoint,
    inbox: impl Iterator<Item = &'a PeerMessage>,
) -> (Vec<(usize, PeerMessage)>, Duration) {
    let inbox: Vec<PeerMessage> = inbox.cloned().collect();
    let started = Instant::now();
    for message in inbox {
        core.receive(now, message);
    }
    core.tick(now);
    let mut messages = Vec::new();
    loop {
        let output = core.drain(now);
        messages.extend(output.messages);
        let Some(batch) = output.batch else { break };
        core.stored(now, batch.ticket);
    }
    let spent = started.elapsed();
    let index = |node: &NodeName| {
        (0..MEMBER_COUNT).find(|host| node_name(*host) == *node).unwrap_or(MEMBER_COUNT)
    };
    (messages.into_iter().map(|(to, message)| (index(&to), message)).collect(), spent)
}

fn encoded_len(message: &PeerMessage) -> u64 {
    codec::encode(message).map_or(0, |bytes| bytes.len() as u64)
}

fn node_name(host: usize) -> NodeName {
    NodeName::new(&format!("control-{host}"))
}
