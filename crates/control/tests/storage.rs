//! The data folder under crashes, damage and a disk that fails.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use assert_matches::assert_matches;
use briartray_control::agreement::{
    EntryPayload, FolderId, HardState, LogEntry, LogSnapshot, MemberSeat, SnapshotMeta,
    StorageWrite, WriteBatch,
};
use briartray_control::storage::{DataFolder, FileAccess, OpenedFolder, StorageError, inspect};
use briartray_model::names::{LogIndex, NodeName, TermNumber};
use tempfile::TempDir;

fn temporary() -> TempDir {
    tempfile::tempdir().expect("a temporary folder")
}

fn try_open(path: &Path) -> Result<OpenedFolder, StorageError> {
    open_with(path, FileAccess::default())
}

fn open_with(path: &Path, access: FileAccess) -> Result<OpenedFolder, StorageError> {
    let node = NodeName::new("a");
    let members = [NodeName::new("a"), NodeName::new("b"), NodeName::new("c")];
    DataFolder::open(path, &node, &members, FolderId(7), access)
}

fn open(path: &Path) -> OpenedFolder {
    try_open(path).expect("the folder opens")
}

fn entry(index: u64, term: u64) -> LogEntry {
    let payload = EntryPayload::Command(vec![u8::try_from(index % 251).unwrap_or(0); 40]);
    LogEntry { index: LogIndex(index), term: TermNumber(term), payload }
}

fn batch(writes: Vec<StorageWrite>) -> WriteBatch {
    WriteBatch { ticket: 1, writes }
}

fn append(range: std::ops::RangeInclusive<u64>, term: u64) -> WriteBatch {
    batch(vec![StorageWrite::Append(range.map(|index| entry(index, term)).collect())])
}

fn snapshot(index: u64, term: u64) -> LogSnapshot {
    let seats = vec![MemberSeat { node: NodeName::new("a"), folder: FolderId(7) }];
    let meta = SnapshotMeta { index: LogIndex(index), term: TermNumber(term), seats };
    LogSnapshot { meta, data: std::sync::Arc::new(vec![9; 100]) }
}

/// A folder with one sync of one entry for each of `1..=count`.
fn filled(path: &Path, count: u64) {
    let mut opened = open(path);
    for index in 1..=count {
        opened.folder.write(&append(index..=index, 1)).expect("the disk takes it");
    }
}

fn log_file(path: &Path) -> PathBuf {
    let mut files: Vec<PathBuf> = fs::read_dir(path)
        .expect("the folder lists")
        .map(|item| item.expect("an item").path())
        .filter(|file| file.to_string_lossy().contains("log-"))
        .collect();
    files.sort();
    files.pop().expect("a log file")
}

fn flip(file: &Path, offset: usize) {
    let mut bytes = fs::read(file).expect("the file reads");
    bytes[offset] ^= 0xff;
    fs::write(file, bytes).expect("the file is written");
}

#[test]
fn restart_finds_what_was_synced() {
    let folder = temporary();
    let hard =
        HardState { term: TermNumber(3), voted: Some(NodeName::new("b")), commit: LogIndex(2) };
    let seats = snapshot(0, 0).meta.seats;
    let mut opened = open(folder.path());
    opened.folder.write(&append(1..=5, 1)).expect("the disk takes it");
    let more = vec![
        StorageWrite::Founding(seats.clone()),
        StorageWrite::Hard(hard.clone()),
        StorageWrite::Truncate(LogIndex(4)),
        StorageWrite::Append(vec![entry(4, 3)]),
    ];
    opened.folder.write(&batch(more)).expect("the disk takes it");
    drop(opened);

    let found = open(folder.path()).recovered;

    assert_eq!(found.hard, hard);
    assert_eq!(found.founding, Some(seats));
    assert_eq!(found.entries, [entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 3)]);
}

#[test]
fn torn_tail_is_cut_off_wherever_the_crash_came() {
    // Power fails while records are written; the tail of the log is half there. Nobody was
    // answered, so the host starts without it and can write again.
    let folder = temporary();
    filled(folder.path(), 3);
    let file = log_file(folder.path());
    let whole = fs::read(&file).expect("the file reads");
    let record = whole.len() / 3;

    for torn in 1..record {
        fs::write(&file, &whole[..whole.len() - torn]).expect("the file is written");
        let mut opened = open(folder.path());
        assert_eq!(opened.recovered.entries, [entry(1, 1), entry(2, 1)]);
        opened.folder.write(&append(3..=3, 2)).expect("the disk takes it");
        drop(opened);
        assert_eq!(open(folder.path()).recovered.entries.last(), Some(&entry(3, 2)));
        let begun = log_file(folder.path());
        if begun != file {
            fs::remove_file(begun).expect("the file goes");
        }
    }
}

#[test]
fn torn_first_record_of_one_sync_is_no_damage() {
    // The disk wrote the end of an unanswered sync but not its beginning. Later records of the
    // same sync are no sign that the torn one was ever answered.
    let folder = temporary();
    filled(folder.path(), 2);
    let mut opened = open(folder.path());
    opened.folder.write(&append(3..=6, 1)).expect("the disk takes it");
    drop(opened);
    flip(&log_file(folder.path()), 40);

    let found = open(folder.path()).recovered;

    assert_eq!(found.entries, [entry(1, 1), entry(2, 1)]);
}

#[test]
fn corrupt_middle_is_refused_with_file_and_offset() {
    // A disk block rots under records that were answered long ago. Cutting the log there would
    // lose accepted changes without a word.
    let folder = temporary();
    filled(folder.path(), 5);
    let file = log_file(folder.path());
    let record = fs::read(&file).expect("the file reads").len() / 5;
    flip(&file, 2 * record + 20);

    let refused = try_open(folder.path()).map(drop);

    assert_matches!(refused, Err(StorageError::Damaged { path, offset, .. })
        if path == file && offset == 2 * record as u64);
}

#[test]
fn lost_committed_entries_are_refused() {
    // The whole log file is gone while the vote file knows that its entries were committed.
    let folder = temporary();
    filled(folder.path(), 3);
    let hard = HardState { term: TermNumber(1), voted: None, commit: LogIndex(3) };
    open(folder.path()).folder.write(&batch(vec![StorageWrite::Hard(hard)])).expect("it is taken");
    fs::remove_file(log_file(folder.path())).expect("the file goes");

    let refused = try_open(folder.path()).map(drop);

    assert_matches!(refused, Err(StorageError::Damaged { .. }));
}

#[test]
fn damaged_small_files_are_refused() {
    // Without its vote a host could vote twice in a term, without its identity it could be taken
    // for another folder.
    for name in ["vote", "identity", "snapshot"] {
        let folder = temporary();
        let keep = StorageWrite::Snapshot { snapshot: snapshot(2, 1), keep_after: LogIndex(0) };
        filled(folder.path(), 3);
        open(folder.path()).folder.write(&batch(vec![keep])).expect("the disk takes it");
        flip(&folder.path().join(name), 10);

        let refused = try_open(folder.path()).map(drop);

        assert_matches!(refused, Err(StorageError::Damaged { path, .. }) if path.ends_with(name));
    }
}

#[test]
fn failed_sync_is_never_taken_back() {
    // The disk reports an error once and then goes on as if nothing had happened. What it lost
    // is not known: the second attempt must fail although the disk would take it.
    let folder = temporary();
    let mut calls = 0;
    let access = FileAccess {
        sync: Box::new(move |file| {
            calls += 1;
            // Making the folder takes four syncs, beginning a log file one.
            if calls == 6 { Err(io::Error::other("lost")) } else { file.sync_data() }
        }),
        ..FileAccess::default()
    };
    let node = NodeName::new("a");
    let opened =
        DataFolder::open(folder.path(), &node, std::slice::from_ref(&node), FolderId(1), access);
    let mut opened = opened.expect("the folder opens");

    let first = opened.folder.write(&append(1..=1, 1));
    let second = opened.folder.write(&append(1..=1, 1));

    assert_matches!(first, Err(StorageError::System { action: "sync", .. }));
    assert_matches!(second, Err(StorageError::Failed { .. }));
}

#[test]
fn full_disk_stops_writes_and_loses_nothing_synced() {
    // The disk is full in the middle of a record. After space was made the host starts again
    // with all that was answered.
    let folder = temporary();
    filled(folder.path(), 2);
    let full = Arc::new(AtomicBool::new(false));
    let is_full = Arc::clone(&full);
    let access = FileAccess {
        write: Box::new(move |file, bytes| {
            if !is_full.load(Ordering::SeqCst) {
                return io::Write::write_all(file, bytes);
            }
            io::Write::write_all(file, &bytes[..bytes.len() / 2])?;
            Err(io::Error::from(io::ErrorKind::StorageFull))
        }),
        ..FileAccess::default()
    };
    let members = [NodeName::new("a"), NodeName::new("b"), NodeName::new("c")];
    let opened = DataFolder::open(folder.path(), &members[0], &members, FolderId(1), access);
    let mut opened = opened.expect("the folder opens");
    full.store(true, Ordering::SeqCst);

    let refused = opened.folder.write(&append(3..=3, 1));
    drop(opened);

    assert_matches!(refused, Err(StorageError::System { action: "write", .. }));
    assert_eq!(open(folder.path()).recovered.entries, [entry(1, 1), entry(2, 1)]);
}

#[test]
fn records_of_a_failed_sync_count_only_once_they_are_written_again() {
    // The sync of a record fails, and the host opens its folder again. The record still reads, from
    // the memory of the system, and its pages pass for clean: a later sync would tell nothing. Had
    // the host counted it as kept, an acknowledged change could be gone after a loss of power.
    let folder = temporary();
    filled(folder.path(), 2);
    let access =
        FileAccess { sync: Box::new(|_| Err(io::Error::other("lost"))), ..FileAccess::default() };
    let refused = open_with(folder.path(), access).map(drop);
    assert_matches!(refused, Err(StorageError::System { action: "sync", .. }));

    let written = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&written);
    let access = FileAccess {
        write: Box::new(move |file, bytes| {
            seen.lock().expect("nobody failed").extend_from_slice(bytes);
            io::Write::write_all(file, bytes)
        }),
        ..FileAccess::default()
    };
    let opened = open_with(folder.path(), access).expect("the folder opens");

    assert_eq!(opened.recovered.entries, [entry(1, 1), entry(2, 1)]);
    let kept = fs::read(log_file(folder.path())).expect("the log reads");
    assert!(written.lock().expect("nobody failed").starts_with(&kept));
}

#[test]
fn contents_are_to_blame_only_when_they_do_not_fit() {
    // A host may begin an unusable folder anew, as after the loss of a disk. It must not do so when
    // the folder is in use or its disk is slow or full: it would destroy what it has promised.
    let folder = temporary();
    let _first = open(folder.path());
    let locked = try_open(folder.path()).map(drop);
    let other = temporary();
    filled(other.path(), 1);
    fs::write(other.path().join("vote"), b"nonsense").expect("it is written");
    let damaged = try_open(other.path()).map(drop);
    let full = StorageError::System {
        path: PathBuf::from("log"),
        action: "write",
        source: io::Error::from(io::ErrorKind::StorageFull),
    };

    assert!(!locked.expect_err("it is locked").is_unusable_contents());
    assert!(damaged.expect_err("it is damaged").is_unusable_contents());
    assert!(!full.is_unusable_contents());
}

#[test]
fn second_process_is_refused() {
    // An operator starts a second process on the same folder; both would write one log.
    let folder = temporary();
    let _first = open(folder.path());

    let second = try_open(folder.path()).map(drop);

    assert_matches!(second, Err(StorageError::Locked { .. }));
}

#[test]
fn folder_of_another_node_or_cluster_is_refused() {
    // A folder is copied to another host, or the list of control hosts is changed. Votes would
    // be counted under a wrong name, or against a wrong number of hosts.
    let folder = temporary();
    drop(open(folder.path()));
    let (a, b) = (NodeName::new("a"), NodeName::new("b"));
    let open_as = |node: &NodeName, members: &[NodeName]| {
        let opened =
            DataFolder::open(folder.path(), node, members, FolderId(1), FileAccess::default());
        opened.map(drop)
    };

    let other_node = open_as(&b, &[a.clone(), b.clone(), NodeName::new("c")]);
    let other_members = open_as(&a, &[a.clone(), b]);

    assert_matches!(other_node, Err(StorageError::OtherNode { .. }));
    assert_matches!(other_members, Err(StorageError::OtherMembers { .. }));
}

#[test]
fn installed_snapshot_replaces_records_even_after_a_crash() {
    // The process ends after the snapshot was kept and before the old records were removed. They
    // do not lead up to it and must not come back.
    let folder = temporary();
    filled(folder.path(), 3);
    let old = fs::read(log_file(folder.path())).expect("the file reads");
    let old_file = log_file(folder.path());
    let install = batch(vec![StorageWrite::Install(snapshot(9, 4))]);
    open(folder.path()).folder.write(&install).expect("the disk takes it");
    fs::write(&old_file, old).expect("the old records are back");

    let mut opened = open(folder.path());
    let found = opened.recovered.clone();
    opened.folder.write(&append(10..=10, 4)).expect("the disk takes it");
    drop(opened);

    assert_eq!(found.entries, []);
    assert_eq!(found.snapshot, Some(snapshot(9, 4)));
    assert_eq!(open(folder.path()).recovered.entries, [entry(10, 4)]);
}

#[test]
fn report_changes_nothing() {
    // An operator looks at a folder after a crash. Looking must not cut off or lock anything.
    let folder = temporary();
    filled(folder.path(), 3);
    let file = log_file(folder.path());
    let bytes = fs::read(&file).expect("the file reads");
    fs::write(&file, &bytes[..bytes.len() - 5]).expect("the file is written");
    let before = fs::read(&file).expect("the file reads");

    let report = inspect(folder.path()).expect("the folder reads");

    assert_eq!(fs::read(&file).expect("the file reads"), before);
    assert_eq!((report.first, report.last), (Some(LogIndex(1)), LogIndex(2)));
    assert!(report.torn_bytes > 0);
    assert_eq!(report.identity.folder, FolderId(7));
}
