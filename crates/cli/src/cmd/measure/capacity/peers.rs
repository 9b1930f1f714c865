//! Stand-ins for the peers of the measured process: watchers, agents, group members and control.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use briartray_link::{
    CallKind, ClientSettings, LinkClient, LinkError, LinkReader, LinkServer, LinkStream, LinkWriter,
};
use briartray_model::message::{
    AgentReport, AllowanceReport, ControlDirective, GroupAssignment, GroupMember, HostAnnouncement,
    MemberReply, MemberRequest, SnapshotUpdate, ViewVersion, WatchReply, WatchRequest,
};
use briartray_model::names::{
    FencingNumber, GroupId, HostName, LeaseNonce, NodeName, RevisionNumber,
};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};

use super::settings::TOKEN;
use crate::cmd::CommandError;

/// Time between two renewals of a watcher, the same as for entries.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two announcements of an agent, the same as for real agents.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(15);

/// Longest wait for a message or a connection.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Duration of the lease that a member grants, in milliseconds.
const LEASE_MS: u32 = 2000;

/// Running stand-ins; dropping the value stops them.
pub(super) struct StandinPeers {
    running: Arc<AtomicBool>,
    /// Latest rules revision that each watcher received.
    seen: Vec<Arc<AtomicU64>>,
    _servers: Vec<LinkServer>,
}

impl Drop for StandinPeers {
    fn drop(&mut self) {
        self.running.store(false, Ordering::Relaxed);
    }
}

impl StandinPeers {
    fn new() -> Self {
        let running = Arc::new(AtomicBool::new(true));
        Self { running, seen: Vec::new(), _servers: Vec::new() }
    }

    /// Starts `count` watchers, each with a connection of its own.
    pub(super) fn watchers(control: SocketAddr, count: usize) -> Result<Self, CommandError> {
        let mut peers = Self::new();
        for number in 0..count {
            let seen = Arc::new(AtomicU64::new(0));
            peers.seen.push(Arc::clone(&seen));
            let client = connect()?;
            let running = Arc::clone(&peers.running);
            let node = NodeName::new(&format!("entry-{number}"));
            spawn_peer(move || {
                while running.load(Ordering::Relaxed) {
                    let stream = client.open(control, CallKind::Watch);
                    if let Err(error) = watch(&stream, &node, &running, &seen) {
                        log::debug!("watcher stream failed; reconnecting: {error}");
                    }
                    std::thread::sleep(RENEW_INTERVAL);
                }
            })?;
        }
        Ok(peers)
    }

    /// Starts `count` agents without a group, each with a connection of its own.
    pub(super) fn agents(control: SocketAddr, count: usize) -> Result<Self, CommandError> {
        let peers = Self::new();
        for number in 0..count {
            let client = connect()?;
            let running = Arc::clone(&peers.running);
            let announcement = announcement(number);
            spawn_peer(move || {
                while running.load(Ordering::Relaxed) {
                    let stream = client.open(control, CallKind::Fleet);
                    if let Err(error) = announce(&stream, &announcement, &running) {
                        log::debug!("agent stream failed; reconnecting: {error}");
                    }
                    std::thread::sleep(RENEW_INTERVAL);
                }
            })?;
        }
        Ok(peers)
    }

    /// Starts `count` members that grant every lease; returns the address of each.
    pub(super) fn members(count: usize) -> Result<(Self, Vec<SocketAddr>), CommandError> {
        let mut peers = Self::new();
        let mut addresses = Vec::new();
        for _ in 0..count {
            let server = serve_on_loopback(grant_leases)?;
            addresses.push(server.address());
            peers._servers.push(server);
        }
        Ok((peers, addresses))
    }

    /// Starts a control host that assigns each agent which announces itself to a group, as first
    /// host in front of `members`.
    pub(super) fn assigning_control(
        listen: SocketAddr,
        members: Vec<SocketAddr>,
    ) -> Result<Self, CommandError> {
        let mut peers = Self::new();
        let handler = move |stream: LinkStream| assign(&stream, &members);
        let server = serve_at(listen, handler)?;
        peers._servers.push(server);
        Ok(peers)
    }

    /// Oldest among the latest revisions of the watchers.
    pub(super) fn oldest_revision(&self) -> u64 {
        self.seen.iter().map(|seen| seen.load(Ordering::Relaxed)).min().unwrap_or_default()
    }
}

fn connect() -> Result<LinkClient, CommandError> {
    let settings = ClientSettings { token: TOKEN.to_owned(), connect_timeout: REPLY_TIMEOUT };
    LinkClient::start("stand-in", settings).map_err(CommandError::refused)
}

fn spawn_peer(run: impl FnOnce() + Send + 'static) -> Result<(), CommandError> {
    spawn_worker("stand-in", WORKER_STACK_BYTES, run).map(drop).map_err(CommandError::refused)
}

fn serve_on_loopback(handler: fn(LinkStream)) -> Result<LinkServer, CommandError> {
    serve_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), handler)
}

/// Serves each stream on a thread of its own.
fn serve_at(
    listen: SocketAddr,
    handler: impl Fn(LinkStream) + Send + Sync + 'static,
) -> Result<LinkServer, CommandError> {
    let handler = Arc::new(handler);
    let spawn = move |stream| {
        let handler = Arc::clone(&handler);
        if let Err(error) = spawn_peer(move || handler(stream)) {
            log::error!("stand-in could not start a thread; stream dropped: {error}");
        }
    };
    LinkServer::start(listen, TOKEN, Box::new(spawn)).map_err(CommandError::refused)
}

fn watch(
    stream: &(LinkWriter, LinkReader),
    node: &NodeName,
    running: &AtomicBool,
    seen: &AtomicU64,
) -> Result<(), LinkError> {
    let (writer, reader) = stream;
    let mut nonce = LeaseNonce::default();
    let mut adopted = 0;
    let mut revision = RevisionNumber::default();
    while running.load(Ordering::Relaxed) {
        nonce = nonce.next();
        writer.send(&WatchRequest {
            node: node.clone(),
            nonce,
            adopted,
            revision,
            leaving: false,
            incarnation: 1,
            demands: Vec::new(),
            prints: ViewVersion::default(),
            whole_parts: Vec::new(),
            runs: Vec::new(),
            retries: AllowanceReport::default(),
        })?;
        let reply: WatchReply = reader.receive(REPLY_TIMEOUT)?;
        if let Some(update) = reply.snapshot {
            match update {
                SnapshotUpdate::Whole(snapshot) => {
                    adopted = snapshot.version;
                    revision = snapshot.revision;
                }
                SnapshotUpdate::Changes(change) => {
                    adopted = change.to;
                    revision = change.rules.map_or(revision, |rules| rules.revision);
                }
            }
            seen.store(revision.0, Ordering::Relaxed);
        }
        std::thread::sleep(RENEW_INTERVAL);
    }
    Ok(())
}

fn announcement(number: usize) -> HostAnnouncement {
    HostAnnouncement {
        host: HostName::new(&format!("host-{number}")),
        zone: "zone-1".into(),
        domain: "rack-1".into(),
        provider: "local".into(),
        service: "not-declared".into(),
        accelerators: 8,
        link: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        checks_fencing: false,
        incarnation: number as u64,
        leaving: false,
    }
}

fn announce(
    stream: &(LinkWriter, LinkReader),
    announcement: &HostAnnouncement,
    running: &AtomicBool,
) -> Result<(), LinkError> {
    let (writer, reader) = stream;
    while running.load(Ordering::Relaxed) {
        writer.send(&AgentReport::Announce(announcement.clone()))?;
        match reader.receive::<ControlDirective>(ANNOUNCE_INTERVAL) {
            Ok(_) | Err(LinkError::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn grant_leases(stream: LinkStream) {
    while let Ok(request) = stream.reader.receive::<MemberRequest>(REPLY_TIMEOUT) {
        let MemberRequest::Lease { nonce, .. } = request;
        let reply = MemberReply::Granted { nonce, duration_ms: LEASE_MS, endpoint_ready: true };
        if stream.writer.send(&reply).is_err() {
            return;
        }
    }
}

fn assign(stream: &LinkStream, members: &[SocketAddr]) {
    let mut assigned = false;
    while let Ok(report) = stream.reader.receive::<AgentReport>(REPLY_TIMEOUT) {
        let AgentReport::Announce(announcement) = report else { continue };
        if assigned {
            continue;
        }
        let directive = ControlDirective::Assign(group_of(&announcement, members));
        assigned = stream.writer.send(&directive).is_ok();
    }
}

fn group_of(first: &HostAnnouncement, members: &[SocketAddr]) -> GroupAssignment {
    let head = GroupMember { host: first.host.clone(), link: first.link };
    let others = members.iter().enumerate().map(|(number, link)| GroupMember {
        host: HostName::new(&format!("member-{number}")),
        link: *link,
    });
    GroupAssignment {
        group: GroupId(1),
        fencing: FencingNumber(1),
        service: first.service.clone(),
        members: std::iter::once(head).chain(others).collect(),
        capacity: 64,
    }
}
