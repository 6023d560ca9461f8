//! The store, compared with a plain map and given damaged and invalid data.

#[path = "control_schedules/disk.rs"]
mod disk;

use bytes::Bytes;
use daisyhinge::control::log::{HardState, LogEntry, LogPayload, LogSnapshot};
use daisyhinge::control::member::VoterSet;
use daisyhinge::control::record::{decode_entry, encode_entry, read_record};
use daisyhinge::control::store::{DiskOp, StoreWriter, StoredFile, open_store};
use daisyhinge::control::voter::SaveBatch;
use daisyhinge::prelude::*;
use daisyhinge::shell::control::codec::STATE_CODEC;
use disk::FakeDisk;
use proptest::collection::vec;
use proptest::prelude::{any, prop, prop_assert, proptest};
use proptest::test_runner::{Config, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEGMENT_BYTES: u64 = 600;

fn make_entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index,
        term,
        payload: LogPayload::Command(Bytes::from(vec![u8::try_from(index % 251).unwrap(); 20])),
    }
}

fn make_save(sequence: u64, term: u64, entries: Vec<LogEntry>) -> SaveBatch {
    SaveBatch {
        sequence,
        hard: Some(HardState { term, vote: None }),
        entries,
    }
}

/// Model of the expected contents of the disk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct ExpectedLog {
    term: u64,
    snapshot: u64,
    entries: Vec<(u64, u64)>,
}

fn start(disk: &mut FakeDisk) -> (StoreWriter, ExpectedLog) {
    let opened = open_store(&"control-1".into(), 7, SEGMENT_BYTES, &disk.files()).unwrap();
    opened.ops.iter().for_each(|op| disk.run(op));
    let log = ExpectedLog {
        term: opened.stored.hard.term,
        snapshot: opened.stored.snapshot.index,
        entries: opened
            .stored
            .entries
            .iter()
            .map(|entry| (entry.index, entry.term))
            .collect(),
    };
    (opened.writer, log)
}

/// Returns the expected log after a step of this kind, and the operations that write it.
fn plan_step(
    writer: &mut StoreWriter,
    synced: &ExpectedLog,
    kind: u8,
    count: u64,
) -> (ExpectedLog, Vec<DiskOp>) {
    let mut expected = synced.clone();
    let last = synced
        .entries
        .last()
        .map_or(synced.snapshot, |entry| entry.0);
    let mut snapshot = LogSnapshot {
        bytes: Bytes::from(vec![1; 50]),
        ..LogSnapshot::default()
    };
    match kind {
        // A snapshot of half of the log.
        0 if last > synced.snapshot => {
            snapshot.index = synced.snapshot + (last - synced.snapshot).div_ceil(2);
            let found = synced
                .entries
                .iter()
                .find(|entry| entry.0 == snapshot.index);
            snapshot.term = found.unwrap().1;
            expected.entries.retain(|entry| entry.0 > snapshot.index);
            expected.snapshot = snapshot.index;
            (expected, writer.plan_snapshot(&snapshot, false))
        }
        // A snapshot from a leader, beyond the log or replacing entries of another term.
        1 | 2 => {
            snapshot.index = if kind == 1 {
                last + 5
            } else {
                (last + 1).max(synced.snapshot + 1)
            };
            snapshot.term = synced.term + 1;
            expected.entries.clear();
            expected.snapshot = snapshot.index;
            (expected, writer.plan_snapshot(&snapshot, true))
        }
        _ => {
            expected.term += 1;
            // Every third save replaces the last entries.
            let replaced = if kind.is_multiple_of(3) {
                count.min(last - synced.snapshot)
            } else {
                0
            };
            let first = last - replaced + 1;
            let new = (first..first + count).map(|index| make_entry(index, expected.term));
            let new: Vec<LogEntry> = new.collect();
            if count > 0 {
                expected.entries.retain(|entry| entry.0 < first);
            }
            expected
                .entries
                .extend(new.iter().map(|entry| (entry.index, entry.term)));
            let ops = writer.plan_saves(&[make_save(0, expected.term, new)]);
            (expected, ops)
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    /// Saves, overwrites, snapshots and crashes at any operation and byte. Synced data must
    /// survive, and an interrupted write must survive completely or not at all.
    #[test]
    fn synced_data_is_read_back(
        steps in vec((0..8_u8, 0..6_u64, any::<prop::sample::Index>()), 1..60),
        seed in any::<u64>(),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut disk = FakeDisk::default();
        let (mut writer, mut synced) = start(&mut disk);
        for (kind, count, crash_at) in steps {
            let (expected, ops) = plan_step(&mut writer, &synced, kind, count);
            // One step in four crashes during the step, one in four after it.
            let crash = rng.random_range(0..4);
            let done = if crash == 0 { crash_at.index(ops.len()) } else { ops.len() };
            ops.iter().take(done + 1).for_each(|op| disk.run(op));
            if crash < 2 {
                disk.crash(&mut rng);
                let (reopened, log) = start(&mut disk);
                prop_assert!(log == expected || (crash == 0 && log == synced), "{log:?} {expected:?}");
                writer = reopened;
                synced = log;
            } else {
                synced = expected;
            }
        }
    }

    /// Invalid bytes are refused without a panic and without allocating the lengths that they
    /// state.
    #[test]
    fn invalid_bytes_are_refused(bytes in vec(any::<u8>(), 0..400), marked in any::<bool>()) {
        let mut bytes = bytes;
        if marked && bytes.len() > 8 {
            bytes[..4].copy_from_slice(b"DHD1");
            bytes[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
        }
        let bytes = Bytes::from(bytes);
        prop_assert!(read_record(&bytes, 0).is_none());
        drop(decode_entry(&bytes));
        drop((STATE_CODEC.decode_command)(&bytes));
        drop((STATE_CODEC.decode_state)(&bytes));
        for name in ["identity", "log-00000000000000000001", "snapshot-00000000000000000001"] {
            let file = StoredFile { name: name.to_owned(), bytes: bytes.clone() };
            drop(open_store(&"control-1".into(), 7, SEGMENT_BYTES, &[file]));
        }
    }
}

/// Returns the files of a folder with five synced batches.
fn make_files() -> Vec<StoredFile> {
    let mut disk = FakeDisk::default();
    let (mut writer, _) = start(&mut disk);
    for index in 1..=5 {
        let save = make_save(index, index, vec![make_entry(index, index)]);
        writer
            .plan_saves(&[save])
            .iter()
            .for_each(|op| disk.run(op));
    }
    disk.files()
}

fn open_with(files: &[StoredFile], change: impl FnOnce(&mut Vec<u8>)) -> Result<usize, ResultCode> {
    let mut files = files.to_vec();
    let log = files
        .iter_mut()
        .find(|file| file.name.starts_with("log-"))
        .unwrap();
    let mut bytes = log.bytes.to_vec();
    change(&mut bytes);
    log.bytes = bytes.into();
    open_store(&"control-1".into(), 7, 1 << 20, &files)
        .map(|opened| opened.stored.entries.len())
        .map_err(|error| error.code)
}

#[test]
fn a_torn_tail_is_truncated_at_any_byte_and_a_damaged_middle_is_refused() {
    let mut disk = FakeDisk::default();
    let opened = open_store(&"control-1".into(), 7, 1 << 20, &[]).unwrap();
    opened.ops.iter().for_each(|op| disk.run(op));
    let mut writer = opened.writer;
    let mut ends = vec![0];
    for index in 1..=5 {
        let save = make_save(index, index, vec![make_entry(index, index)]);
        ends.push(
            disk.files()
                .iter()
                .map(|file| file.bytes.len())
                .max()
                .unwrap(),
        );
        writer
            .plan_saves(&[save])
            .iter()
            .for_each(|op| disk.run(op));
    }
    let files = disk.files();
    let length = files.iter().map(|file| file.bytes.len()).max().unwrap();
    let tail = *ends.last().unwrap();
    assert_eq!(open_with(&files, |_| ()), Ok(5));
    for end in tail..length {
        assert_eq!(
            open_with(&files, |bytes| bytes.truncate(end)),
            Ok(4),
            "truncated at {end}"
        );
    }
    for at in 0..tail {
        let damaged = open_with(&files, |bytes| bytes[at] ^= 0x40);
        assert_eq!(damaged, Err(ResultCode::RecordDamaged), "damaged at {at}");
    }
}

#[test]
fn a_folder_of_another_vm_or_without_its_identity_is_refused() {
    let files = make_files();
    let other = open_store(&"control-2".into(), 7, SEGMENT_BYTES, &files);
    assert_eq!(other.unwrap_err().code, ResultCode::FolderMismatch);
    let mut rest: Vec<StoredFile> = files
        .into_iter()
        .filter(|file| file.name != "identity")
        .collect();
    rest.push(StoredFile {
        name: "snapshot-00000000000000000003".to_owned(),
        bytes: Bytes::new(),
    });
    let lost = open_store(&"control-1".into(), 7, SEGMENT_BYTES, &rest);
    assert_eq!(lost.unwrap_err().code, ResultCode::FolderMismatch);
}

#[test]
fn entries_survive_encoding() {
    for entry in [
        make_entry(3, 2),
        LogEntry {
            index: 1,
            term: 1,
            payload: LogPayload::Blank,
        },
        LogEntry {
            index: 9,
            term: 4,
            payload: LogPayload::Voters(VoterSet::default(), Bytes::from_static(b"x")),
        },
    ] {
        assert_eq!(decode_entry(&encode_entry(&entry).into()), Some(entry));
    }
}

fn run_ops(disk: &mut FakeDisk, ops: &[DiskOp]) {
    for op in ops {
        disk.run(op);
    }
}

fn save(disk: &mut FakeDisk, writer: &mut StoreWriter, term: u64, indexes: std::ops::Range<u64>) {
    let entries = indexes.map(|index| make_entry(index, term)).collect();
    let ops = writer.plan_saves(&[make_save(0, term, entries)]);
    run_ops(disk, &ops);
}

fn make_snapshot(index: u64, term: u64) -> LogSnapshot {
    LogSnapshot {
        index,
        term,
        ..LogSnapshot::default()
    }
}

#[test]
fn entries_that_replace_some_of_a_removed_segment_are_read_back() {
    let mut disk = FakeDisk::default();
    let (mut writer, _) = start(&mut disk);
    // The first segment ends with entry 12; the second begins with entry 13 and then replaces
    // entries from 11 on.
    save(&mut disk, &mut writer, 1, 1..13);
    save(&mut disk, &mut writer, 1, 13..15);
    save(&mut disk, &mut writer, 2, 11..16);
    let ops = writer.plan_snapshot(&make_snapshot(12, 2), false);
    assert!(ops.contains(&DiskOp::Remove("log-00000000000000000001".to_owned())));
    run_ops(&mut disk, &ops);
    let (_, log) = start(&mut disk);
    assert_eq!(log.entries, [(13, 2), (14, 2), (15, 2)]);
}

#[test]
fn a_segment_whose_first_batch_was_torn_is_reused() {
    let mut disk = FakeDisk::default();
    let (mut writer, _) = start(&mut disk);
    save(&mut disk, &mut writer, 1, 1..4);
    // The crash happens when the new segment has its name but no contents.
    for op in writer.plan_snapshot(&make_snapshot(2, 1), false) {
        match op {
            DiskOp::Append { file, .. } if file.starts_with("log-") => {
                let bytes = Vec::new();
                disk.run(&DiskOp::Append { file, bytes });
                break;
            }
            op => disk.run(&op),
        }
    }
    let (mut writer, log) = start(&mut disk);
    assert_eq!(log.entries, [(3, 1)]);
    let ops = writer.plan_snapshot(&make_snapshot(3, 1), false);
    run_ops(&mut disk, &ops);
    save(&mut disk, &mut writer, 1, 4..6);
    let (_, log) = start(&mut disk);
    assert_eq!(log.entries, [(4, 1), (5, 1)]);
    assert_eq!((log.term, log.snapshot), (1, 3));
}
