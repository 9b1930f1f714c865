//! Keeping the entry's view up to date under a rules lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briartray_link::{CallKind, LinkError, LinkReader, LinkWriter};
use briartray_model::message::{WatchReply, WatchRequest};
use briartray_model::names::LeaseNonce;
use briartray_model::rules::RuleBook;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};

use super::shared::{EntryShared, EntryView};

/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// How long one answer is waited for before another control host is asked.
const ANSWER_WAIT: Duration = Duration::from_millis(1000);

/// Part of a lease that is not used, against clocks that run at different speeds.
const DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// Starts the thread that watches control.
pub(super) fn start(shared: Arc<EntryShared>, peers: Vec<SocketAddr>) -> std::io::Result<()> {
    let run = move || {
        let mut nonce = LeaseNonce::default();
        for peer in peers.iter().cycle() {
            if shared.is_stopped() {
                return;
            }
            let stream = shared.link.open(*peer, CallKind::Watch);
            if let Err(error) = renew_all(&shared, &stream, &mut nonce) {
                log::info!("watch of control at {peer} ended: {error}");
            }
            std::thread::sleep(RENEW_INTERVAL);
        }
    };
    spawn_worker("watch", 2 * WORKER_STACK_BYTES, run).map(drop)
}

/// Renews on one stream until it fails.
fn renew_all(
    shared: &EntryShared,
    stream: &(LinkWriter, LinkReader),
    nonce: &mut LeaseNonce,
) -> Result<(), LinkError> {
    let (writer, reader) = stream;
    while !shared.is_stopped() {
        *nonce = nonce.next();
        let sent = shared.clock.now();
        let adopted = shared.view().snapshot.version;
        writer.send(&WatchRequest {
            node: shared.node.clone(),
            nonce: *nonce,
            adopted,
            incarnation: shared.incarnation,
            demands: shared.gate.demands(),
        })?;
        let reply: WatchReply = reader.receive(ANSWER_WAIT)?;
        if reply.nonce != *nonce {
            continue;
        }
        let lease = Duration::from_millis(u64::from(reply.lease_ms)).saturating_sub(DRIFT_MARGIN);
        shared.gate.grant(&reply.shares, sent.after(lease));
        adopt(shared, reply, sent.after(lease));
        std::thread::sleep(RENEW_INTERVAL);
    }
    Ok(())
}

fn adopt(shared: &EntryShared, reply: WatchReply, until: briartray_model::TimePoint) {
    let before = shared.view();
    let Some(mut snapshot) = reply.snapshot else {
        shared.adopt(EntryView {
            snapshot: Arc::clone(&before.snapshot),
            book: Arc::clone(&before.book),
            confirmed_until: Some(until),
        });
        return;
    };
    snapshot.keep_incarnations(&before.snapshot);
    match RuleBook::build(snapshot.revision, &snapshot.rules) {
        Ok(book) => {
            log::debug!(version = snapshot.version; "snapshot adopted");
            shared.adopt(EntryView {
                snapshot: Arc::new(snapshot),
                book: Arc::new(book),
                confirmed_until: Some(until),
            });
        }
        Err(error) => log::error!("rules from control do not load: {error}"),
    }
}
