//! Encoded size of the snapshots and updates that entries receive, by the number of groups.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use briartray_model::codec;
use briartray_model::message::{GroupRecord, RoutingSnapshot, SnapshotChange};
use briartray_model::names::{FencingNumber, GroupId, HostName};

use super::lines::MeasuredLine;
use super::regression::SizePoint;
use crate::cmd::CommandError;

/// Decodings of a snapshot over which the mean time is taken.
const DECODE_ROUNDS: u32 = 20;

/// Bytes of a snapshot, and the time to decode it, by its number of groups.
pub(super) fn snapshot(sizes: &[usize]) -> Result<Vec<MeasuredLine>, CommandError> {
    let (mut bytes, mut times) = (Vec::new(), Vec::new());
    for size in sizes {
        let encoded = codec::encode(&sample_snapshot(*size)).map_err(CommandError::refused)?;
        let started = Instant::now();
        for _ in 0..DECODE_ROUNDS {
            codec::decode::<RoutingSnapshot>(&encoded).map_err(CommandError::refused)?;
        }
        let each_ms = started.elapsed().as_secs_f64() * 1000.0 / f64::from(DECODE_ROUNDS);
        bytes.push(SizePoint { size: *size as f64, cost: encoded.len() as f64 });
        times.push(SizePoint { size: *size as f64, cost: each_ms });
    }
    Ok(vec![
        MeasuredLine::new("entry", "group in a snapshot", "bytes", bytes),
        MeasuredLine::new("entry", "group in a snapshot", "ms to decode", times),
    ])
}

/// Bytes of an update by the number of groups that changed, out of `groups`.
pub(super) fn changes(sizes: &[usize], groups: usize) -> Result<Vec<MeasuredLine>, CommandError> {
    let mut bytes = Vec::new();
    for size in sizes {
        let earlier = sample_snapshot(groups);
        let mut later = earlier.clone();
        later.version += 1;
        later.groups.iter_mut().take(*size).for_each(|record| record.whole = false);
        let change = SnapshotChange::between(&earlier, &later);
        let encoded = codec::encode(&change).map_err(CommandError::refused)?;
        bytes.push(SizePoint { size: *size as f64, cost: encoded.len() as f64 });
    }
    Ok(vec![MeasuredLine::new("entry", "changed group in an update", "bytes", bytes)])
}

fn sample_snapshot(groups: usize) -> RoutingSnapshot {
    let record = |number: usize| GroupRecord {
        group: GroupId(number as u64),
        fencing: FencingNumber(number as u64 * 3),
        service: "desk-language".into(),
        zone: "prairie-west-a".into(),
        domain: "prairie-west-a-rack-017".into(),
        provider: "provider-one".into(),
        first: HostName::new(&format!("prairie-west-a-host-{number:05}")),
        incarnation: u64::MAX - number as u64,
        link: SocketAddr::from((Ipv4Addr::LOCALHOST, 7000)),
        whole: true,
        capacity: 64,
    };
    RoutingSnapshot { groups: (0..groups).map(record).collect(), ..RoutingSnapshot::default() }
}
