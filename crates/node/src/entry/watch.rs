//! Keeping the entry's view up to date under a rules lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briartray_control::lease::LeaseHolder;
use briartray_link::{CallKind, LinkError, LinkReader, LinkWriter};
use briartray_model::message::{SnapshotUpdate, WatchReply, WatchRequest};
use briartray_model::names::LeaseNonce;
use briartray_model::rules::RuleBook;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, bounded};

use super::shared::{EntryShared, EntryView};

/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// How long one answer is waited for before another control host is asked.
const ANSWER_WAIT: Duration = Duration::from_millis(1000);

/// Starts the thread that watches control; the receiver ends once the thread has.
pub(super) fn start(
    shared: Arc<EntryShared>,
    peers: Vec<SocketAddr>,
) -> std::io::Result<Receiver<()>> {
    let (ended, end) = bounded(1);
    let run = move || {
        let mut holder = LeaseHolder::new(LeaseNonce(u64::from(rand::random::<u32>())));
        for peer in peers.iter().cycle() {
            if shared.is_finished() {
                break;
            }
            let stream = shared.link.open(*peer, CallKind::Watch);
            if let Err(error) = renew_all(&shared, &stream, &mut holder) {
                log::info!("watch of control at {peer} ended: {error}");
            }
            std::thread::sleep(RENEW_INTERVAL);
        }
        drop(ended);
    };
    spawn_worker("watch", 2 * WORKER_STACK_BYTES, run)?;
    Ok(end)
}

/// Renews on one stream until it fails or the entry has finished; then says goodbye, so that
/// changes need not wait for the lease to run out.
fn renew_all(
    shared: &EntryShared,
    stream: &(LinkWriter, LinkReader),
    holder: &mut LeaseHolder,
) -> Result<(), LinkError> {
    let (writer, reader) = stream;
    shared.crashes.begin_leader(holder.last_nonce().0);
    while !shared.is_finished() {
        let sent = shared.clock.now();
        let nonce = holder.start_renewal(sent);
        writer.send(&renewal(shared, nonce, false))?;
        let reply: WatchReply = reader.receive(ANSWER_WAIT)?;
        if !holder.accept_grant(reply.nonce, reply.terms) {
            continue;
        }
        shared.crashes.answered(reply.nonce.0, reply.prints.clone());
        shared.gate.grant(&reply.shares, sent.after(reply.terms.confirmed()));
        adopt(shared, &reply, holder);
        shared.crashes.wait(RENEW_INTERVAL);
    }
    let nonce = holder.start_renewal(shared.clock.now());
    writer.send(&renewal(shared, nonce, true))
}

fn renewal(shared: &EntryShared, nonce: LeaseNonce, leaving: bool) -> WatchRequest {
    let view = shared.view();
    let (runs, prints) = shared.crashes.events_to_report(shared.clock.now());
    WatchRequest {
        node: shared.node.clone(),
        nonce,
        adopted: view.snapshot.version,
        revision: view.book.revision(),
        leaving,
        incarnation: shared.incarnation,
        demands: shared.gate.demands(),
        prints,
        runs,
    }
}

fn adopt(shared: &EntryShared, reply: &WatchReply, holder: &LeaseHolder) {
    let before = shared.view();
    let window = holder.window();
    let newer = match &reply.snapshot {
        None => None,
        Some(SnapshotUpdate::Whole(whole)) => Some(whole.clone()),
        // Changes from another version are left: the next renewal says which one is held.
        Some(SnapshotUpdate::Changes(change)) => before.snapshot.after(change),
    };
    let Some(mut snapshot) = newer else {
        shared.adopt(EntryView {
            snapshot: Arc::clone(&before.snapshot),
            book: Arc::clone(&before.book),
            window,
        });
        return;
    };
    snapshot.keep_incarnations(&before.snapshot);
    match RuleBook::build(snapshot.revision, &snapshot.rules) {
        Ok(book) => {
            log::debug!(version = snapshot.version; "snapshot adopted");
            shared.adopt(EntryView { snapshot: Arc::new(snapshot), book: Arc::new(book), window });
        }
        Err(error) => log::error!("rules from control do not load: {error}"),
    }
}
