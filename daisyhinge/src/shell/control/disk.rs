//! Thread that writes the data folder.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};

use tokio::sync::mpsc;

use super::ControlError;
use super::folder::DataFolder;
use super::input::DriverInput;
use crate::control::log::LogSnapshot;
use crate::control::store::StoreWriter;
use crate::control::voter::SaveBatch;

/// Maximum number of saves written with one sync.
const SAVES_MAX: usize = 1_024;

/// Write request to the disk thread.
#[derive(Debug)]
pub(super) enum DiskJob {
    /// Log entries, term and vote.
    Save(SaveBatch),
    /// A snapshot; with `reset` it discards all stored entries.
    Snapshot {
        sequence: u64,
        snapshot: LogSnapshot,
        reset: bool,
    },
}

/// Handle to the disk thread and its queue.
#[derive(Debug)]
pub(super) struct DiskThread {
    jobs: Sender<DiskJob>,
    thread: JoinHandle<()>,
}

impl DiskThread {
    pub(super) fn write(&self, job: DiskJob) {
        // If the thread has ended, it has already reported its error.
        drop(self.jobs.send(job));
    }

    /// Waits until all queued jobs are written and the folder is released.
    pub(super) async fn stop(self) {
        drop(self.jobs);
        let thread = self.thread;
        // The panic hook has reported a panic of the thread.
        drop(tokio::task::spawn_blocking(move || thread.join()).await);
    }
}

/// Starts the disk thread.
pub(super) fn spawn_disk(
    folder: DataFolder,
    writer: StoreWriter,
    inputs: mpsc::Sender<DriverInput>,
) -> DiskThread {
    let (jobs, receiver) = channel();
    let thread = thread::Builder::new()
        .name("control-disk".to_owned())
        .spawn(move || run_disk(folder, writer, &receiver, &inputs))
        .expect("the disk thread can be started");
    DiskThread { jobs, thread }
}

fn run_disk(
    mut folder: DataFolder,
    mut writer: StoreWriter,
    jobs: &Receiver<DiskJob>,
    inputs: &mpsc::Sender<DriverInput>,
) {
    let mut next_job = None;
    while let Some(job) = next_job.take().or_else(|| jobs.recv().ok()) {
        let written = match job {
            DiskJob::Save(first) => {
                let mut saves = vec![first];
                while saves.len() < SAVES_MAX {
                    match jobs.try_recv() {
                        Ok(DiskJob::Save(save)) => saves.push(save),
                        Ok(other) => {
                            next_job = Some(other);
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
            Err(error) => DriverInput::DiskFailed(error),
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
) -> Result<u64, ControlError> {
    let ops = writer.plan_saves(saves);
    folder.run_all(&ops)?;
    Ok(saves.last().map_or(0, |save| save.sequence))
}
