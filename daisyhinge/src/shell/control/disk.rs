//! The thread that writes the data folder.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};

use tokio::sync::mpsc;

use super::ControlFault;
use super::folder::DataFolder;
use super::input::DriverInput;
use crate::control::log::LogSnapshot;
use crate::control::store::StoreWriter;
use crate::control::voter::SaveBatch;

/// Saves that are written with one sync at most.
const SAVES_MAX: usize = 1_024;

/// Something to write.
#[derive(Debug)]
pub(super) enum DiskJob {
    /// Entries, term and vote.
    Save(SaveBatch),
    /// A snapshot.
    Snapshot {
        sequence: u64,
        snapshot: LogSnapshot,
        reset: bool,
    },
}

/// The thread and the way to it.
#[derive(Debug)]
pub(super) struct DiskThread {
    jobs: Sender<DiskJob>,
    thread: JoinHandle<()>,
}

impl DiskThread {
    pub(super) fn write(&self, job: DiskJob) {
        // A thread that ended has told why.
        drop(self.jobs.send(job));
    }

    /// Waits until all is written and the folder is free.
    pub(super) async fn stop(self) {
        drop(self.jobs);
        let thread = self.thread;
        // A panic of the thread has reported itself.
        drop(tokio::task::spawn_blocking(move || thread.join()).await);
    }
}

/// Starts the thread.
pub(super) fn spawn_disk(
    folder: DataFolder,
    writer: StoreWriter,
    inputs: mpsc::Sender<DriverInput>,
) -> DiskThread {
    let (jobs, receiver) = channel();
    let thread = thread::Builder::new()
        .name("control-disk".to_owned())
        .spawn(move || run_disk(folder, writer, &receiver, &inputs))
        .expect("a thread can be started");
    DiskThread { jobs, thread }
}

fn run_disk(
    mut folder: DataFolder,
    mut writer: StoreWriter,
    jobs: &Receiver<DiskJob>,
    inputs: &mpsc::Sender<DriverInput>,
) {
    let mut waiting = None;
    while let Some(job) = waiting.take().or_else(|| jobs.recv().ok()) {
        let written = match job {
            DiskJob::Save(first) => {
                let mut saves = vec![first];
                while saves.len() < SAVES_MAX {
                    match jobs.try_recv() {
                        Ok(DiskJob::Save(save)) => saves.push(save),
                        Ok(other) => {
                            waiting = Some(other);
                            break;
                        }
                        Err(_) => break,
                    }
                }
                write_saves(&mut folder, &mut writer, &saves)
            }
            DiskJob::Snapshot {
                sequence,
                snapshot,
                reset,
            } => {
                let ops = writer.plan_snapshot(&snapshot, reset);
                folder.run_all(&ops).map(|()| sequence)
            }
        };
        let failed = written.is_err();
        let input = match written {
            Ok(sequence) => DriverInput::Saved(sequence),
            Err(fault) => DriverInput::DiskFailed(fault),
        };
        if inputs.blocking_send(input).is_err() || failed {
            return;
        }
    }
}

fn write_saves(
    folder: &mut DataFolder,
    writer: &mut StoreWriter,
    saves: &[SaveBatch],
) -> Result<u64, ControlFault> {
    let ops = writer.plan_saves(saves);
    folder.run_all(&ops)?;
    Ok(saves.last().map_or(0, |save| save.sequence))
}
