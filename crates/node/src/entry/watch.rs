//! The watch thread: renews the rules lease at a control host and keeps the entry's view up to
//! date.

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

use super::quarantine::RunReport;
use super::shared::{EntryShared, EntryView};

/// Interval between lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for an answer, after which the next control host is tried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Starts the watch thread; the receiver disconnects when the thread ends.
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
            if let Err(error) = renew_until_closed(&shared, &stream, &mut holder) {
                log::info!("watch stream to {peer} ended: {error}; trying the next host");
            }
            std::thread::sleep(RENEW_INTERVAL);
        }
        drop(ended);
    };
    spawn_worker("watch", 2 * WORKER_STACK_BYTES, run)?;
    Ok(end)
}

/// Renews the lease on one stream until the stream fails or the entry has finished.
///
/// A finished entry returns its lease, so that rule changes need not wait until it expires.
fn renew_until_closed(
    shared: &EntryShared,
    stream: &(LinkWriter, LinkReader),
    holder: &mut LeaseHolder,
) -> Result<(), LinkError> {
    let (writer, reader) = stream;
    shared.quarantine.begin_leader(holder.last_nonce().0);
    while !shared.is_finished() {
        let sent = shared.clock.now();
        let nonce = holder.start_renewal(sent);
        writer.send(&renewal(shared, nonce, false))?;
        let reply: WatchReply = reader.receive(ANSWER_TIMEOUT)?;
        if !holder.accept_grant(reply.nonce, reply.terms) {
            continue;
        }
        shared.quarantine.on_renewal_answer(reply.nonce.0, reply.prints.clone());
        shared.gate.grant(&reply.shares, sent.after(reply.terms.confirmed()));
        shared.grant_allowance(sent, &reply.retries);
        adopt(shared, &reply, holder);
        shared.quarantine.wait(RENEW_INTERVAL);
    }
    let nonce = holder.start_renewal(shared.clock.now());
    writer.send(&renewal(shared, nonce, true))
}

fn renewal(shared: &EntryShared, nonce: LeaseNonce, leaving: bool) -> WatchRequest {
    let view = shared.view();
    let now = shared.clock.now();
    let RunReport { runs, whole_parts, prints } = shared.quarantine.run_report(now);
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
        whole_parts,
        retries: shared.allowance_report(now, leaving),
    }
}

fn adopt(shared: &EntryShared, reply: &WatchReply, holder: &LeaseHolder) {
    let before = shared.view();
    let window = holder.window();
    let newer = match &reply.snapshot {
        None => None,
        Some(SnapshotUpdate::Whole(whole)) => Some(whole.clone()),
        // Changes to another version are ignored: the next renewal reports the version held.
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
        Err(error) => log::error!("cannot load rules from control, keeping the old ones: {error}"),
    }
}
