//! Opening and modifying a data folder.

use std::fs::File;
use std::path::{Path, PathBuf};

use briartray_model::names::{LogIndex, NodeName};
use briartray_model::{codec, plain_value};
use snafu::{ResultExt, ensure};

use super::FileAccess;
use super::checked_file::{self, damaged, sync_folder};
use super::error::{
    DamagedSnafu, FailedSnafu, LockedSnafu, OtherMembersSnafu, OtherNodeSnafu, StorageError,
    SystemSnafu,
};
use super::record::{SyncMark, write_record};
use super::segment::{self, LogSegment, SegmentScan};
use crate::agreement::{
    FolderId, HardState, LogEntry, LogSnapshot, RecoveredState, SnapshotMeta, StorageWrite,
    VoterSeat, WriteBatch,
};

pub(super) const LOCK_FILE: &str = "lock";
pub(super) const IDENTITY_FILE: &str = "identity";
pub(super) const VOTE_FILE: &str = "vote";
pub(super) const SNAPSHOT_FILE: &str = "snapshot";

/// Size at which a new log file is started, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

plain_value! {
    /// Owner of a data folder.
    pub struct FolderIdentity {
        /// Name of the control host.
        pub node: NodeName,
        /// Random id of the folder.
        pub folder: FolderId,
        /// The control hosts, sorted by name.
        pub members: Vec<NodeName>,
        /// The founding seats, if known to this host.
        pub founding: Option<Vec<VoterSeat>>,
    }
}

/// A data folder with the contents that were read when it was opened.
#[derive(Debug)]
pub struct OpenedFolder {
    /// The folder, ready for writes.
    pub folder: DataFolder,
    /// Random id of the folder.
    pub id: FolderId,
    /// Contents at the time of opening.
    pub recovered: RecoveredState,
}

/// A data folder that is locked by this process.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    access: FileAccess,
    identity: FolderIdentity,
    segments: Vec<LogSegment>,
    tail: Option<File>,
    /// The next records go to a new file, because sync numbers must be contiguous within a file.
    needs_new_segment: bool,
    next_sync: u64,
    failed: bool,
    _lock: File,
}

impl DataFolder {
    /// Opens the folder of `node`, or creates it with the id `new_id` if it does not exist.
    ///
    /// # Errors
    /// Returns a `StorageError` if the folder is locked, damaged or of another host, or if a file
    /// operation fails.
    pub fn open(
        path: &Path,
        node: &NodeName,
        members: &[NodeName],
        new_id: FolderId,
        mut access: FileAccess,
    ) -> Result<OpenedFolder, StorageError> {
        std::fs::create_dir_all(path).context(SystemSnafu { path, action: "create" })?;
        let lock = lock(path)?;
        let mut members = members.to_vec();
        members.sort();
        members.dedup();
        let found = read_identity(path)?;
        let created = found.is_none();
        let identity = match found {
            Some(identity) => identity,
            None => create_folder(&mut access, path, node, &members, new_id)?,
        };
        check_owner(path, &identity, node, &members)?;
        let mut contents = FolderContents::read(path)?;
        contents.remove_superseded_segments(&mut access, path)?;
        if !created {
            rewrite_newest_data(&mut access, path, &contents)?;
        }
        let id = identity.folder;
        let recovered = RecoveredState {
            hard: contents.hard,
            founding: identity.founding.clone(),
            snapshot: contents.snapshot,
            entries: contents.scans.iter().flat_map(|scan| scan.entries.clone()).collect(),
        };
        let next_sync = contents.scans.last().map_or(0, |scan| scan.mark.number) + 1;
        let segments = contents.scans.into_iter().map(|scan| scan.segment).collect();
        let folder = Self {
            path: path.to_owned(),
            access,
            identity,
            segments,
            tail: None,
            needs_new_segment: true,
            next_sync,
            failed: false,
            _lock: lock,
        };
        Ok(OpenedFolder { folder, id, recovered })
    }

    /// Writes and syncs all changes of `batch`.
    ///
    /// # Errors
    /// Returns a `StorageError` if a file operation fails now or has failed before; the folder then
    /// accepts no more writes.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        ensure!(!self.failed, FailedSnafu { path: &self.path });
        // Remains set after a failure, because the contents of the disk are then unknown.
        self.failed = true;
        for change in &batch.writes {
            self.apply_write(change)?;
        }
        self.failed = false;
        Ok(())
    }

    fn apply_write(&mut self, change: &StorageWrite) -> Result<(), StorageError> {
        match change {
            StorageWrite::Founding(seats) => {
                self.identity.founding = Some(seats.clone());
                write_identity(&mut self.access, &self.path, &self.identity)
            }
            StorageWrite::Hard(hard) => self.replace(VOTE_FILE, &encode(hard)),
            StorageWrite::Truncate(index) => self.truncate(*index),
            StorageWrite::Append(entries) => self.append(entries),
            StorageWrite::Snapshot { snapshot, keep_after } => {
                self.replace(SNAPSHOT_FILE, &encode_snapshot(snapshot))?;
                self.remove_compacted_segments(*keep_after)
            }
            StorageWrite::Install(snapshot) => {
                // Store the snapshot first: after a crash in between, either the snapshot
                // supersedes the old records, or the records are still complete.
                self.replace(SNAPSHOT_FILE, &encode_snapshot(snapshot))?;
                self.truncate(LogIndex(0))
            }
        }
    }

    fn replace(&mut self, name: &str, content: &[u8]) -> Result<(), StorageError> {
        checked_file::replace(&mut self.access, &self.path, name, content)
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        let Some(first) = entries.first() else { return Ok(()) };
        let full = self.segments.last().is_none_or(|tail| tail.size >= SEGMENT_BYTES);
        if full || self.needs_new_segment {
            self.begin_segment(first.index)?;
        }
        let Some(segment) = self.segments.last_mut() else { return Ok(()) };
        let mut bytes = Vec::new();
        let number = self.next_sync;
        self.next_sync += 1;
        for (position, entry) in entries.iter().enumerate() {
            segment.record_offsets.push(segment.size + bytes.len() as u64);
            let remaining = u32::try_from(entries.len() - position - 1).unwrap_or(u32::MAX);
            write_record(&mut bytes, entry, SyncMark { number, remaining });
        }
        segment.size += bytes.len() as u64;
        let path = &segment.path;
        if self.tail.is_none() {
            self.tail = Some(segment.open()?);
        }
        let Some(file) = &mut self.tail else { return Ok(()) };
        (self.access.write)(file, &bytes).context(SystemSnafu { path, action: "write" })?;
        (self.access.sync)(file).context(SystemSnafu { path, action: "sync" })
    }

    fn begin_segment(&mut self, first: LogIndex) -> Result<(), StorageError> {
        let first_sync = self.next_sync;
        let path = segment::path_of(&self.path, first, first_sync);
        let segment = LogSegment { path, first, first_sync, record_offsets: Vec::new(), size: 0 };
        self.tail = Some(segment.open()?);
        // A file that was created but is still empty is reused.
        if self.segments.last().is_none_or(|last| last.path != segment.path) {
            self.segments.push(segment);
        }
        self.needs_new_segment = false;
        sync_folder(&mut self.access, &self.path)
    }

    /// Removes the records of all entries from `index` on.
    fn truncate(&mut self, index: LogIndex) -> Result<(), StorageError> {
        self.tail = None;
        self.needs_new_segment = true;
        while let Some(segment) = self.segments.last_mut() {
            if segment.first >= index {
                remove_log_file(&mut self.access, &self.path, &segment.path)?;
                self.segments.pop();
                continue;
            }
            if segment.end() > index {
                let kept = usize::try_from(index.0 - segment.first.0).unwrap_or(usize::MAX);
                segment.size = segment.record_offsets[kept];
                segment.record_offsets.truncate(kept);
                truncate_file(&mut self.access, &segment.path, segment.size)?;
            }
            break;
        }
        Ok(())
    }

    /// Removes files whose entries all have an index of at most `keep_after`.
    fn remove_compacted_segments(&mut self, keep_after: LogIndex) -> Result<(), StorageError> {
        while self.segments.len() > 1 && self.segments[1].first.0 <= keep_after.0 + 1 {
            let path = self.segments.remove(0).path;
            remove_log_file(&mut self.access, &self.path, &path)?;
        }
        // Start a new file early, so that the next snapshot can remove the current one.
        self.needs_new_segment |=
            self.segments.last().is_some_and(|tail| tail.size >= SEGMENT_BYTES / 4);
        Ok(())
    }
}

/// Contents of all files in a folder.
#[derive(Debug)]
pub(super) struct FolderContents {
    pub(super) hard: HardState,
    pub(super) snapshot: Option<LogSnapshot>,
    pub(super) scans: Vec<SegmentScan>,
}

impl FolderContents {
    /// Reads all files without changing any.
    pub(super) fn read(path: &Path) -> Result<Self, StorageError> {
        let Some(vote) = checked_file::read(path, VOTE_FILE)? else {
            return damaged(&path.join(VOTE_FILE), "the file is missing");
        };
        let hard: HardState = match codec::decode(&vote) {
            Ok(hard) => hard,
            Err(error) => return damaged(&path.join(VOTE_FILE), &error.to_string()),
        };
        let snapshot = match checked_file::read(path, SNAPSHOT_FILE)? {
            Some(bytes) => Some(decode_snapshot(path, &bytes)?),
            None => None,
        };
        let scans = scan_all(path)?;
        let contents = Self { hard, snapshot, scans };
        contents.check_range(path)?;
        Ok(contents)
    }

    /// Index of the last entry, including the entries in the snapshot.
    pub(super) fn last_index(&self) -> LogIndex {
        let covered = self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.meta.index);
        let end = self
            .scans
            .last()
            .map_or(LogIndex(0), |scan| LogIndex(scan.segment.end().0.saturating_sub(1)));
        covered.max(end)
    }

    /// Removes records superseded by a snapshot, if the process ended before removing them.
    ///
    /// Such records are not contiguous with the snapshot. Keeping them could leave a gap, or
    /// entries after the snapshot that were never committed.
    fn remove_superseded_segments(
        &mut self,
        access: &mut FileAccess,
        folder: &Path,
    ) -> Result<(), StorageError> {
        let Some(meta) = self.snapshot.as_ref().map(|snapshot| &snapshot.meta) else {
            return Ok(());
        };
        let entry_at_snapshot =
            self.scans.iter().flat_map(|scan| &scan.entries).find(|e| e.index == meta.index);
        let continues_snapshot =
            self.scans.first().is_some_and(|scan| scan.segment.first == meta.index.next());
        if continues_snapshot || entry_at_snapshot.is_some_and(|entry| entry.term == meta.term) {
            return Ok(());
        }
        for scan in self.scans.drain(..).rev() {
            remove_log_file(access, folder, &scan.segment.path)?;
        }
        Ok(())
    }

    fn check_range(&self, path: &Path) -> Result<(), StorageError> {
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index.0);
        let begins = self.scans.first().map_or(covered + 1, |scan| scan.segment.first.0);
        if begins > covered + 1 {
            let detail = format!("entries {} to {} are missing", covered + 1, begins - 1);
            return damaged(path, &detail);
        }
        let last = self.last_index();
        if last < self.hard.commit {
            let detail = format!(
                "entries up to {} were committed, but the last entry is {last}",
                self.hard.commit
            );
            return damaged(path, &detail);
        }
        Ok(())
    }
}

fn scan_all(path: &Path) -> Result<Vec<SegmentScan>, StorageError> {
    let mut scans: Vec<SegmentScan> = Vec::new();
    for segment in segment::list(path)? {
        let first = segment.first;
        if let Some(before) = scans.last() {
            let offset = before.segment.size;
            let detail = format!("some records before entry {first} cannot be read");
            let is_contiguous = before.torn_bytes == 0 && before.segment.end() == first;
            ensure!(is_contiguous, DamagedSnafu { path: &before.segment.path, offset, detail });
        }
        scans.push(segment::scan(segment)?);
    }
    Ok(scans)
}

fn lock(path: &Path) -> Result<File, StorageError> {
    let file = path.join(LOCK_FILE);
    let lock = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&file)
        .context(SystemSnafu { path: &file, action: "open" })?;
    match fs4::FileExt::try_lock(&lock) {
        Ok(()) => Ok(lock),
        Err(fs4::TryLockError::WouldBlock) => LockedSnafu { path }.fail(),
        Err(fs4::TryLockError::Error(source)) => {
            Err(StorageError::System { path: file, action: "lock", source })
        }
    }
}

/// Initializes an empty folder; the identity is written last, so that an interrupted run is redone.
fn create_folder(
    access: &mut FileAccess,
    path: &Path,
    node: &NodeName,
    members: &[NodeName],
    folder: FolderId,
) -> Result<FolderIdentity, StorageError> {
    let has_log_data =
        checked_file::read(path, SNAPSHOT_FILE)?.is_some() || !segment::list(path)?.is_empty();
    if has_log_data {
        return damaged(
            &path.join(IDENTITY_FILE),
            "the file is missing, although the folder holds a log or snapshot",
        );
    }
    log::info!(path = path.display().to_string().as_str(); "creating a new data folder");
    checked_file::replace(access, path, VOTE_FILE, &encode(&HardState::default()))?;
    let identity =
        FolderIdentity { node: node.clone(), folder, members: members.to_vec(), founding: None };
    write_identity(access, path, &identity)?;
    Ok(identity)
}

fn check_owner(
    path: &Path,
    identity: &FolderIdentity,
    node: &NodeName,
    members: &[NodeName],
) -> Result<(), StorageError> {
    let (found, expected) = (identity.node.as_str(), node.as_str());
    ensure!(found == expected, OtherNodeSnafu { path, found, expected });
    let (found, expected) = (join(&identity.members), join(members));
    ensure!(found == expected, OtherMembersSnafu { path, found, expected });
    Ok(())
}

/// Rewrites the data that the last sync of an earlier process may not have stored: the newest
/// records, the vote, and the directory entries of both.
///
/// After a failed sync, the operating system still returns the data and marks it as clean, so that
/// another sync has no effect. Entries counted as synced on that basis could be lost in a power
/// failure although they were reported as held by a majority.
fn rewrite_newest_data(
    access: &mut FileAccess,
    path: &Path,
    contents: &FolderContents,
) -> Result<(), StorageError> {
    if let Some(scan) = contents.scans.last() {
        rewrite_tail(access, path, scan)?;
    }
    checked_file::replace(access, path, VOTE_FILE, &encode(&contents.hard))
}

/// Replaces the newest log file by its complete records, without a torn tail.
fn rewrite_tail(
    access: &mut FileAccess,
    folder: &Path,
    scan: &SegmentScan,
) -> Result<(), StorageError> {
    let path = &scan.segment.path;
    if scan.torn_bytes > 0 {
        log::warn!(
            file = path.display().to_string().as_str(), offset = scan.segment.size,
            bytes = scan.torn_bytes;
            "removed a torn tail of the log; its entries were never acknowledged"
        );
    }
    let mut bytes = checked_file::read_file(path)?.unwrap_or_default();
    bytes.truncate(usize::try_from(scan.segment.size).unwrap_or(usize::MAX));
    checked_file::replace_file(access, folder, path, &[&bytes])
}

/// Removes a log file at either end of the log, and syncs the folder.
///
/// Without a sync after each file, a power loss may bring back some of several removed files, and the
/// gaps between them would read as damage.
fn remove_log_file(
    access: &mut FileAccess,
    folder: &Path,
    path: &Path,
) -> Result<(), StorageError> {
    std::fs::remove_file(path).context(SystemSnafu { path, action: "remove" })?;
    sync_folder(access, folder)
}

fn truncate_file(access: &mut FileAccess, path: &Path, size: u64) -> Result<(), StorageError> {
    let file =
        File::options().write(true).open(path).context(SystemSnafu { path, action: "open" })?;
    file.set_len(size).context(SystemSnafu { path, action: "shorten" })?;
    (access.sync)(&file).context(SystemSnafu { path, action: "sync" })
}

pub(super) fn read_identity(path: &Path) -> Result<Option<FolderIdentity>, StorageError> {
    let Some(bytes) = checked_file::read(path, IDENTITY_FILE)? else { return Ok(None) };
    match codec::decode(&bytes) {
        Ok(identity) => Ok(Some(identity)),
        Err(error) => damaged(&path.join(IDENTITY_FILE), &error.to_string()),
    }
}

fn write_identity(
    access: &mut FileAccess,
    path: &Path,
    identity: &FolderIdentity,
) -> Result<(), StorageError> {
    checked_file::replace(access, path, IDENTITY_FILE, &encode(identity))
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    codec::encode(value).expect("plain data can be encoded")
}

/// Encodes a snapshot: length of the header, header, state.
fn encode_snapshot(snapshot: &LogSnapshot) -> Vec<u8> {
    let header = encode(&snapshot.meta);
    let mut bytes = Vec::with_capacity(4 + header.len() + snapshot.data.len());
    bytes.extend_from_slice(&u32::try_from(header.len()).unwrap_or(u32::MAX).to_le_bytes());
    bytes.extend_from_slice(&header);
    bytes.extend_from_slice(&snapshot.data);
    bytes
}

fn decode_snapshot(path: &Path, bytes: &[u8]) -> Result<LogSnapshot, StorageError> {
    let parsed = bytes.split_at_checked(4).and_then(|(length, rest)| {
        let length = u32::from_le_bytes(length.try_into().ok()?);
        let (header, data) = rest.split_at_checked(usize::try_from(length).ok()?)?;
        let meta: SnapshotMeta = codec::decode(header).ok()?;
        Some(LogSnapshot { meta, data: std::sync::Arc::new(data.to_vec()) })
    });
    match parsed {
        Some(snapshot) => Ok(snapshot),
        None => damaged(&path.join(SNAPSHOT_FILE), "the snapshot header cannot be decoded"),
    }
}

fn join(members: &[NodeName]) -> String {
    members.iter().map(NodeName::as_str).collect::<Vec<_>>().join(", ")
}
