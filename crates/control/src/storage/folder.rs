//! Opening a data folder and changing it.

use std::fs::File;
use std::path::{Path, PathBuf};

use briartray_model::names::{LogIndex, NodeName};
use briartray_model::{codec, plain_value};
use snafu::{ResultExt, ensure};

use super::FileAccess;
use super::error::{
    DamagedSnafu, FailedSnafu, LockedSnafu, OtherMembersSnafu, OtherNodeSnafu, StorageError,
    SystemSnafu,
};
use super::record::{SyncMark, write_record};
use super::sealed::{self, damaged, sync_folder};
use super::segment::{self, LogSegment, SegmentScan};
use crate::agreement::{
    FolderId, HardState, LogEntry, LogSnapshot, MemberSeat, RecoveredState, SnapshotMeta,
    StorageWrite, WriteBatch,
};

pub(super) const LOCK: &str = "lock";
pub(super) const IDENTITY: &str = "identity";
pub(super) const VOTE: &str = "vote";
pub(super) const SNAPSHOT: &str = "snapshot";

/// Size after which a new log file is begun, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

plain_value! {
    /// Whose folder this is.
    pub struct FolderIdentity {
        /// The control host.
        pub node: NodeName,
        /// Random id of the folder.
        pub folder: FolderId,
        /// The control hosts, sorted.
        pub members: Vec<NodeName>,
        /// Who founded the log, when this folder took part.
        pub founding: Option<Vec<MemberSeat>>,
    }
}

/// A folder that was opened, and what it held.
#[derive(Debug)]
pub struct OpenedFolder {
    /// The folder, ready for writes.
    pub folder: DataFolder,
    /// Random id of the folder.
    pub id: FolderId,
    /// What it held.
    pub recovered: RecoveredState,
}

/// A data folder in use by this process.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    access: FileAccess,
    identity: FolderIdentity,
    segments: Vec<LogSegment>,
    tail: Option<File>,
    /// The next records begin a file: numbers of syncs have no gaps inside one.
    begin: bool,
    next_sync: u64,
    failed: bool,
    _lock: File,
}

impl DataFolder {
    /// Opens the folder of `node`, or makes it when it is empty; `fresh` is its id then.
    ///
    /// # Errors
    /// A `StorageError` that names file and remedy.
    pub fn open(
        path: &Path,
        node: &NodeName,
        members: &[NodeName],
        fresh: FolderId,
        mut access: FileAccess,
    ) -> Result<OpenedFolder, StorageError> {
        std::fs::create_dir_all(path).context(SystemSnafu { path, action: "create" })?;
        let lock = lock(path)?;
        let mut members = members.to_vec();
        members.sort();
        members.dedup();
        let found = read_identity(path)?;
        let made = found.is_none();
        let identity = match found {
            Some(identity) => identity,
            None => make(&mut access, path, node, &members, fresh)?,
        };
        check_owner(path, &identity, node, &members)?;
        let mut contents = FolderContents::read(path)?;
        contents.drop_replaced()?;
        if !made {
            keep_again(&mut access, path, &contents)?;
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
            begin: true,
            next_sync,
            failed: false,
            _lock: lock,
        };
        Ok(OpenedFolder { folder, id, recovered })
    }

    /// Makes the changes of `batch` last.
    ///
    /// # Errors
    /// A `StorageError`; the folder takes no more changes then.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        ensure!(!self.failed, FailedSnafu { path: &self.path });
        // Stays set when a change fails: what the disk holds then is not known.
        self.failed = true;
        for change in &batch.writes {
            self.change(change)?;
        }
        self.failed = false;
        Ok(())
    }

    fn change(&mut self, change: &StorageWrite) -> Result<(), StorageError> {
        match change {
            StorageWrite::Founding(seats) => {
                self.identity.founding = Some(seats.clone());
                write_identity(&mut self.access, &self.path, &self.identity)
            }
            StorageWrite::Hard(hard) => self.replace(VOTE, &encode(hard)),
            StorageWrite::Truncate(index) => self.truncate(*index),
            StorageWrite::Append(entries) => self.append(entries),
            StorageWrite::Snapshot { snapshot, keep_after } => {
                self.replace(SNAPSHOT, &encode_snapshot(snapshot))?;
                self.drop_segments(*keep_after)
            }
            StorageWrite::Install(snapshot) => {
                // The snapshot first: with it the old records no longer matter, without it they
                // are all there is.
                self.replace(SNAPSHOT, &encode_snapshot(snapshot))?;
                self.truncate(LogIndex(0))
            }
        }
    }

    fn replace(&mut self, name: &str, content: &[u8]) -> Result<(), StorageError> {
        sealed::replace(&mut self.access, &self.path, name, content)
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        let Some(first) = entries.first() else { return Ok(()) };
        let full = self.segments.last().is_none_or(|tail| tail.size >= SEGMENT_BYTES);
        if full || self.begin {
            self.begin_segment(first.index)?;
        }
        let Some(segment) = self.segments.last_mut() else { return Ok(()) };
        let mut bytes = Vec::new();
        let number = self.next_sync;
        self.next_sync += 1;
        for (position, entry) in entries.iter().enumerate() {
            segment.starts.push(segment.size + bytes.len() as u64);
            let left = u32::try_from(entries.len() - position - 1).unwrap_or(u32::MAX);
            write_record(&mut bytes, entry, SyncMark { number, left });
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
        let sync = self.next_sync;
        let path = segment::path_of(&self.path, first, sync);
        let segment = LogSegment { path, first, sync, starts: Vec::new(), size: 0 };
        self.tail = Some(segment.open()?);
        // A file that was begun and left empty is taken again.
        if self.segments.last().is_none_or(|last| last.path != segment.path) {
            self.segments.push(segment);
        }
        self.begin = false;
        sync_folder(&mut self.access, &self.path)
    }

    /// Drops the records of entries from `index` on.
    fn truncate(&mut self, index: LogIndex) -> Result<(), StorageError> {
        self.tail = None;
        self.begin = true;
        while let Some(segment) = self.segments.last_mut() {
            if segment.first >= index {
                let path = segment.path.clone();
                std::fs::remove_file(&path).context(SystemSnafu { path, action: "remove" })?;
                self.segments.pop();
                continue;
            }
            if segment.end() > index {
                let kept = usize::try_from(index.0 - segment.first.0).unwrap_or(usize::MAX);
                segment.size = segment.starts[kept];
                segment.starts.truncate(kept);
                shorten(&mut self.access, &segment.path, segment.size)?;
            }
            break;
        }
        sync_folder(&mut self.access, &self.path)
    }

    /// Removes files whose entries are all covered up to `keep_after`.
    fn drop_segments(&mut self, keep_after: LogIndex) -> Result<(), StorageError> {
        while self.segments.len() > 1 && self.segments[1].first.0 <= keep_after.0 + 1 {
            let path = self.segments.remove(0).path;
            std::fs::remove_file(&path).context(SystemSnafu { path, action: "remove" })?;
        }
        // The next snapshot can then drop what is full now.
        self.begin |= self.segments.last().is_some_and(|tail| tail.size >= SEGMENT_BYTES / 4);
        Ok(())
    }
}

/// What the files of a folder hold.
#[derive(Debug)]
pub(super) struct FolderContents {
    pub(super) hard: HardState,
    pub(super) snapshot: Option<LogSnapshot>,
    pub(super) scans: Vec<SegmentScan>,
}

impl FolderContents {
    /// Reads everything, changes nothing.
    pub(super) fn read(path: &Path) -> Result<Self, StorageError> {
        let Some(vote) = sealed::read(path, VOTE)? else {
            return damaged(&path.join(VOTE), "the file is missing");
        };
        let hard: HardState = match codec::decode(&vote) {
            Ok(hard) => hard,
            Err(error) => return damaged(&path.join(VOTE), &error.to_string()),
        };
        let snapshot = match sealed::read(path, SNAPSHOT)? {
            Some(bytes) => Some(decode_snapshot(path, &bytes)?),
            None => None,
        };
        let scans = scan_all(path)?;
        let contents = Self { hard, snapshot, scans };
        contents.check_range(path)?;
        Ok(contents)
    }

    /// First and last entry that can be read, the snapshot counted in.
    pub(super) fn last_index(&self) -> LogIndex {
        let covered = self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.meta.index);
        let end = self
            .scans
            .last()
            .map_or(LogIndex(0), |scan| LogIndex(scan.segment.end().0.saturating_sub(1)));
        covered.max(end)
    }

    /// Removes records that a snapshot replaced, when the process ended before it could.
    ///
    /// They do not lead up to the snapshot: left in place, entries that were never committed
    /// would follow it, or a gap would.
    fn drop_replaced(&mut self) -> Result<(), StorageError> {
        let Some(meta) = self.snapshot.as_ref().map(|snapshot| &snapshot.meta) else {
            return Ok(());
        };
        let held = self.scans.iter().flat_map(|scan| &scan.entries).find(|e| e.index == meta.index);
        let ahead = self.scans.first().is_some_and(|scan| scan.segment.first == meta.index.next());
        if ahead || held.is_some_and(|entry| entry.term == meta.term) {
            return Ok(());
        }
        for scan in self.scans.drain(..) {
            let path = scan.segment.path;
            std::fs::remove_file(&path).context(SystemSnafu { path, action: "remove" })?;
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
            let detail =
                format!("entries to {} were committed, {last} is the last one", self.hard.commit);
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
            let detail = format!("the records of entries up to {first} do not read");
            let whole = before.torn == 0 && before.segment.end() == first;
            ensure!(whole, DamagedSnafu { path: &before.segment.path, offset, detail });
        }
        scans.push(segment::scan(segment)?);
    }
    Ok(scans)
}

fn lock(path: &Path) -> Result<File, StorageError> {
    let file = path.join(LOCK);
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

/// Makes an empty folder; the identity comes last, so that a half-made folder is made again.
fn make(
    access: &mut FileAccess,
    path: &Path,
    node: &NodeName,
    members: &[NodeName],
    folder: FolderId,
) -> Result<FolderIdentity, StorageError> {
    let strange = sealed::read(path, SNAPSHOT)?.is_some() || !segment::list(path)?.is_empty();
    if strange {
        return damaged(&path.join(IDENTITY), "the file is missing, but a log is there");
    }
    log::info!(path = path.display().to_string().as_str(); "a new data folder is made");
    sealed::replace(access, path, VOTE, &encode(&HardState::default()))?;
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

/// Writes anew what the last sync of an earlier run may not have reached: the newest records, the
/// vote, and the names of both.
///
/// When a sync fails, the system goes on to show the bytes and takes them for clean, so that
/// syncing again tells nothing. Entries that were counted as kept on that ground would be missing
/// after a loss of power, although a majority was said to hold them.
fn keep_again(
    access: &mut FileAccess,
    path: &Path,
    contents: &FolderContents,
) -> Result<(), StorageError> {
    if let Some(scan) = contents.scans.last() {
        rewrite_tail(access, path, scan)?;
    }
    sealed::replace(access, path, VOTE, &encode(&contents.hard))
}

/// Replaces the newest file of records by its whole records, without a torn tail.
fn rewrite_tail(
    access: &mut FileAccess,
    folder: &Path,
    scan: &SegmentScan,
) -> Result<(), StorageError> {
    let path = &scan.segment.path;
    if scan.torn > 0 {
        log::warn!(
            file = path.display().to_string().as_str(), offset = scan.segment.size,
            bytes = scan.torn; "a torn tail was cut off; it had not been answered"
        );
    }
    let mut bytes = sealed::read_file(path)?.unwrap_or_default();
    bytes.truncate(usize::try_from(scan.segment.size).unwrap_or(usize::MAX));
    sealed::replace_file(access, folder, path, &[&bytes])
}

fn shorten(access: &mut FileAccess, path: &Path, size: u64) -> Result<(), StorageError> {
    let file =
        File::options().write(true).open(path).context(SystemSnafu { path, action: "open" })?;
    file.set_len(size).context(SystemSnafu { path, action: "shorten" })?;
    (access.sync)(&file).context(SystemSnafu { path, action: "sync" })
}

pub(super) fn read_identity(path: &Path) -> Result<Option<FolderIdentity>, StorageError> {
    let Some(bytes) = sealed::read(path, IDENTITY)? else { return Ok(None) };
    match codec::decode(&bytes) {
        Ok(identity) => Ok(Some(identity)),
        Err(error) => damaged(&path.join(IDENTITY), &error.to_string()),
    }
}

fn write_identity(
    access: &mut FileAccess,
    path: &Path,
    identity: &FolderIdentity,
) -> Result<(), StorageError> {
    sealed::replace(access, path, IDENTITY, &encode(identity))
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    codec::encode(value).expect("plain data has an encoding")
}

/// Length of the head, the head, the encoded state.
fn encode_snapshot(snapshot: &LogSnapshot) -> Vec<u8> {
    let head = encode(&snapshot.meta);
    let mut bytes = Vec::with_capacity(4 + head.len() + snapshot.data.len());
    bytes.extend_from_slice(&u32::try_from(head.len()).unwrap_or(u32::MAX).to_le_bytes());
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(&snapshot.data);
    bytes
}

fn decode_snapshot(path: &Path, bytes: &[u8]) -> Result<LogSnapshot, StorageError> {
    let parsed = bytes.split_at_checked(4).and_then(|(length, rest)| {
        let length = u32::from_le_bytes(length.try_into().ok()?);
        let (head, data) = rest.split_at_checked(usize::try_from(length).ok()?)?;
        let meta: SnapshotMeta = codec::decode(head).ok()?;
        Some(LogSnapshot { meta, data: std::sync::Arc::new(data.to_vec()) })
    });
    match parsed {
        Some(snapshot) => Ok(snapshot),
        None => damaged(&path.join(SNAPSHOT), "the head does not read"),
    }
}

fn join(members: &[NodeName]) -> String {
    members.iter().map(NodeName::as_str).collect::<Vec<_>>().join(", ")
}
