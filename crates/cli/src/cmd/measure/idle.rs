//! What an idle follower costs: three cores stepped in one thread, their messages encoded.

use std::time::{Duration, Instant};

use briartray_control::agreement::{
    AgreementCore, AgreementSettings, AgreementTimes, FolderId, MemberRole, MembershipMode,
    PeerMessage, RecoveredState,
};
use briartray_model::names::NodeName;
use briartray_model::{TimePoint, codec};
use serde_json::{Value, json};

/// Simulated time that is measured.
const LENGTH: Duration = Duration::from_secs(120);

/// Simulated time before, in which a leader is elected.
const WARM_UP: Duration = Duration::from_secs(10);

const STEP: Duration = Duration::from_millis(10);

const SIZE: usize = 3;

/// Sums over all followers.
#[derive(Debug, Default)]
struct IdleSums {
    messages_in: u64,
    bytes_in: u64,
    bytes_out: u64,
    core: Duration,
}

/// Bytes, messages and processor time of one idle follower, a second.
pub(super) fn measure() -> Value {
    let mut now = TimePoint(1);
    let mut cores: Vec<AgreementCore> = (0..SIZE).map(|host| make_core(now, host)).collect();
    let mut wire: Vec<(usize, PeerMessage)> = Vec::new();
    let mut sums = IdleSums::default();
    let from = now.after(WARM_UP);
    let end = from.after(LENGTH);
    while now < end {
        now = now.after(STEP);
        let due = std::mem::take(&mut wire);
        for (host, core) in cores.iter_mut().enumerate() {
            let inbox = due.iter().filter(|(to, _)| *to == host).map(|(_, message)| message);
            let (sent, step) = step_core(core, now, inbox.clone());
            if now > from && core.role() == MemberRole::Follower {
                sums.messages_in += inbox.clone().count() as u64;
                sums.bytes_in += inbox.map(encoded).sum::<u64>();
                sums.bytes_out += sent.iter().map(|(_, message)| encoded(message)).sum::<u64>();
                sums.core += step;
            }
            wire.extend(sent);
        }
    }
    let share = LENGTH.as_secs() * (SIZE as u64 - 1);
    json!({
        "messages_in": sums.messages_in / share,
        "bytes_in": sums.bytes_in / share,
        "bytes_out": sums.bytes_out / share,
        "core_micros": sums.core.as_micros() / u128::from(share),
    })
}

fn make_core(now: TimePoint, host: usize) -> AgreementCore {
    let settings = AgreementSettings {
        node: name(host),
        folder: FolderId(host as u64),
        members: (0..SIZE).map(name).collect(),
        membership: MembershipMode::Fixed,
        times: AgreementTimes::default(),
        seed: host as u64,
    };
    AgreementCore::new(now, settings, RecoveredState::default())
}

/// Steps one core as the control thread does; writes count as synced at once.
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
    let step = started.elapsed();
    let number = |node: &NodeName| (0..SIZE).find(|host| name(*host) == *node).unwrap_or(SIZE);
    (messages.into_iter().map(|(to, message)| (number(&to), message)).collect(), step)
}

fn encoded(message: &PeerMessage) -> u64 {
    codec::encode(message).map_or(0, |bytes| bytes.len() as u64)
}

fn name(host: usize) -> NodeName {
    NodeName::new(&format!("control-{host}"))
}
