//! Tests of the data folder under power losses: names that were created, renamed or removed since the last
//! sync of the folder are kept or lost independently, and so are writes since a file's last sync.

use std::fs::{self, File};
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use briartray_control::agreement::{
    EntryPayload, FolderId, HardState, LogEntry, LogSnapshot, RecoveredState, SnapshotMeta,
    StorageWrite, VoterSeat, WriteBatch,
};
use briartray_control::storage::{
    DataFolder, FileAccess, OpenedFolder, StorageError, clear_folder,
};
use briartray_model::SortedTable;
use briartray_model::names::{LogIndex, NodeName, TermNumber};
use tempfile::TempDir;

/// Number of entries before the operation under test, two in each log file.
const ENTRIES: u64 = 8;

/// Number of syncs after which every operation has ended.
const MAX_SYNCS: usize = 20;

/// Files by name, with their contents.
type Files = SortedTable<String, Vec<u8>>;

/// What a power loss leaves for certain, and how many more syncs succeed before it.
struct PowerSupply {
    folder: PathBuf,
    durable: Files,
    syncs: usize,
}

impl PowerSupply {
    fn sync(&mut self, file: &File) -> io::Result<()> {
        if self.syncs == 0 {
            return Err(io::Error::other("the power is lost"));
        }
        self.syncs -= 1;
        let path = fs::read_link(format!("/proc/self/fd/{}", file.as_raw_fd()))?;
        if path == self.folder {
            self.durable = read_files(&self.folder);
        } else if let Some(name) = path.file_name() {
            self.durable.insert(name.to_string_lossy().into_owned(), fs::read(&path)?);
        }
        Ok(())
    }
}

fn read_files(folder: &Path) -> Files {
    let items = fs::read_dir(folder).expect("the folder lists");
    let read = |item: io::Result<fs::DirEntry>| {
        let path = item.expect("an item").path();
        let name = path.file_name().expect("a name").to_string_lossy().into_owned();
        (name, fs::read(&path).expect("the file reads"))
    };
    items.map(read).collect()
}

/// Replaces the contents of `folder` by `files`.
fn write_files(folder: &Path, files: &Files) {
    for name in read_files(folder).keys() {
        fs::remove_file(folder.join(name)).expect("the file is removed");
    }
    for (name, bytes) in files.iter() {
        fs::write(folder.join(name), bytes).expect("the file is written");
    }
}

fn open_with(path: &Path, access: FileAccess) -> Result<OpenedFolder, StorageError> {
    DataFolder::open(path, &NodeName::new("a"), &[], FolderId(7), access)
}

fn entry(index: u64, term: u64) -> LogEntry {
    let payload = EntryPayload::Command(vec![u8::try_from(index).unwrap_or(0); 40]);
    LogEntry { index: LogIndex(index), term: TermNumber(term), payload }
}

fn append(range: std::ops::RangeInclusive<u64>, term: u64) -> StorageWrite {
    StorageWrite::Append(range.map(|index| entry(index, term)).collect())
}

fn snapshot(index: u64, term: u64) -> LogSnapshot {
    let seats = vec![VoterSeat { node: NodeName::new("a"), folder: FolderId(7) }];
    let meta = SnapshotMeta { index: LogIndex(index), term: TermNumber(term), seats };
    LogSnapshot { meta, data: Arc::new(vec![9; 100]) }
}

/// A folder with [`ENTRIES`] entries of term 1 in several log files.
fn filled() -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    for index in (1..=ENTRIES).step_by(2) {
        let mut opened = open_with(folder.path(), FileAccess::default()).expect("it opens");
        let batch = WriteBatch { ticket: 1, writes: vec![append(index..=index + 1, 1)] };
        opened.folder.write(&batch).expect("the write succeeds");
    }
    folder
}

/// Cuts the power at each sync of `writes` in turn, and checks what is found for each set of changes that may
/// have been lost.
fn lose_power_during(writes: &[StorageWrite], check: impl Fn(&RecoveredState)) {
    let filled = filled();
    lose_power_in(&read_files(filled.path()), whole(check), |path, access| {
        let Ok(mut opened) = open_with(path, access) else { return };
        let _ = opened.folder.write(&WriteBatch { ticket: 1, writes: writes.to_vec() });
    });
}

/// As [`lose_power_during`], for an operation on a folder that holds `files`.
fn lose_power_in(
    files: &Files,
    check: impl Fn(&Result<OpenedFolder, StorageError>),
    operate: impl Fn(&Path, FileAccess),
) {
    for syncs in 0..MAX_SYNCS {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let path = folder.path().canonicalize().expect("the folder is there");
        write_files(&path, files);
        let durable = read_files(&path);
        let supply = PowerSupply { folder: path.clone(), durable, syncs };
        let supply = Arc::new(Mutex::new(supply));
        let shared = Arc::clone(&supply);
        let sync = Box::new(move |file: &File| shared.lock().expect("no test panicked").sync(file));
        operate(&path, FileAccess { sync, ..FileAccess::default() });
        let current = read_files(&path);
        let durable = supply.lock().expect("no test panicked").durable.clone();
        for found in outcomes(&durable, &current) {
            write_files(&path, &found);
            check(&open_with(&path, FileAccess::default()));
        }
    }
}

/// Checks the contents of a folder that must open.
fn whole(check: impl Fn(&RecoveredState)) -> impl Fn(&Result<OpenedFolder, StorageError>) {
    move |opened| match opened {
        Ok(opened) => check(&opened.recovered),
        Err(error) => panic!("the folder does not open: {error}"),
    }
}

/// All states in which each change from `durable` to `current` is kept or lost.
fn outcomes(durable: &Files, current: &Files) -> Vec<Files> {
    let mut names: Vec<&String> = durable.keys().chain(current.keys()).collect();
    names.sort();
    names.dedup();
    names.retain(|name| durable.get(*name) != current.get(*name));
    let outcome = |kept: u32| {
        let mut files = durable.clone();
        for (position, name) in names.iter().enumerate() {
            match current.get(*name).filter(|_| kept & (1 << position) != 0) {
                Some(bytes) => drop(files.insert((*name).clone(), bytes.clone())),
                None if kept & (1 << position) != 0 => drop(files.remove(*name)),
                None => {}
            }
        }
        files
    };
    (0..1_u32 << names.len()).map(outcome).collect()
}

/// Entries that follow the snapshot, which must come without a gap.
fn entries_after_snapshot(found: &RecoveredState) -> Vec<LogEntry> {
    let covered = found.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index.0);
    let later: Vec<LogEntry> =
        found.entries.iter().filter(|entry| entry.index.0 > covered).cloned().collect();
    for (position, entry) in later.iter().enumerate() {
        assert_eq!(entry.index.0, covered + position as u64 + 1, "entries are missing");
    }
    later
}

fn last_index(found: &RecoveredState) -> u64 {
    let covered = found.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index.0);
    entries_after_snapshot(found).last().map_or(covered, |entry| entry.index.0)
}

/// Guards against a folder that is refused as damaged, and then cleared, because some of the log files that
/// a snapshot replaced are still there.
#[test]
fn a_compaction_survives_a_power_loss() {
    let compaction =
        StorageWrite::Snapshot { snapshot: snapshot(ENTRIES, 1), keep_after: LogIndex(7) };

    lose_power_during(&[compaction], |found| assert_eq!(last_index(found), ENTRIES));
}

/// Guards against a folder that is refused as damaged because some of the log files with removed entries are
/// still there.
#[test]
fn a_truncation_survives_a_power_loss() {
    let writes = [StorageWrite::Truncate(LogIndex(2)), append(2..=3, 2)];

    lose_power_during(&writes, |found| {
        assert_eq!(found.entries.first(), Some(&entry(1, 1)));
        let second = found.entries.get(1).map(|entry| entry.term.0);
        assert!(second.is_none_or(|term| term == 1) || last_index(found) <= 3);
    });
}

/// Guards against a folder that is refused as damaged because some of the log files that the leader's
/// snapshot replaced are still there.
#[test]
fn an_installed_snapshot_survives_a_power_loss() {
    let writes = [StorageWrite::Install(snapshot(20, 2)), append(21..=22, 2)];

    lose_power_during(&writes, |found| match &found.snapshot {
        Some(snapshot) => assert!(snapshot.meta.index.0 == 20 && last_index(found) >= 20),
        None => assert_eq!(last_index(found), ENTRIES),
    });
}

/// Guards against a second power loss while the log files that a snapshot replaced are removed at the next start.
#[test]
fn a_start_after_an_interrupted_installation_survives_a_power_loss() {
    let folder = filled();
    let old_files = read_files(folder.path());
    let mut opened = open_with(folder.path(), FileAccess::default()).expect("it opens");
    let install = vec![StorageWrite::Install(snapshot(20, 2))];
    opened.folder.write(&WriteBatch { ticket: 1, writes: install }).expect("the write succeeds");
    drop(opened);
    let mut interrupted = read_files(folder.path());
    for (name, bytes) in old_files.iter() {
        interrupted.get_or_insert_with(name.clone(), || bytes.clone());
    }

    let check = |found: &RecoveredState| assert_eq!(last_index(found), 20);
    lose_power_in(&interrupted, whole(check), |path, access| drop(open_with(path, access)));
}

/// Guards against a commit index that is kept although the entries up to it are lost.
#[test]
fn entries_are_kept_before_the_commit_index_that_covers_them() {
    let commit = LogIndex(ENTRIES + 2);
    let hard = HardState { term: TermNumber(2), voted: None, commit };
    let writes = [append(ENTRIES + 1..=ENTRIES + 2, 2), StorageWrite::Hard(hard)];

    lose_power_during(&writes, |found| {
        assert!(last_index(found) >= ENTRIES.max(found.hard.commit.0));
    });
}

/// Guards against a new folder that can't be opened after a power loss in its first moments.
#[test]
fn a_new_folder_survives_a_power_loss() {
    let check = |found: &RecoveredState| assert_eq!(*found, RecoveredState::default());

    lose_power_in(&Files::new(), whole(check), |path, access| drop(open_with(path, access)));
}

/// Guards against a damaged folder that is cleared in part and then opens as before, without entries that it
/// had acknowledged.
#[test]
fn a_cleared_folder_does_not_come_back_in_part() {
    let filled = filled();
    let mut files = read_files(filled.path());
    let newest = files.keys().filter(|name| name.starts_with("log-")).max().cloned();
    let middle = files.keys().filter(|name| name.starts_with("log-")).nth(2).cloned();
    assert!(middle < newest);
    let bytes = files.get_mut(&middle.expect("a log file")).expect("it is there");
    bytes[40] ^= 0xff;

    let check = |opened: &Result<OpenedFolder, StorageError>| match opened {
        Ok(opened) => assert_eq!(opened.recovered, RecoveredState::default()),
        Err(error) => assert!(error.is_unusable_contents(), "{error}"),
    };
    lose_power_in(&files, check, |path, access| drop(clear_folder(path, access)));
}
