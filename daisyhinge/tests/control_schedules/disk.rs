//! A fake disk on which only synced data survives a crash; other data may be torn.

use std::collections::BTreeMap;

use daisyhinge::control::store::{DiskOp, StoredFile};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

#[derive(Clone, Debug, Default)]
struct FakeFile {
    synced: Vec<u8>,
    present: Vec<u8>,
}

/// A disk on which only synced data survives: contents are synced by file, names by folder.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    files: Vec<FakeFile>,
    synced_names: BTreeMap<String, usize>,
    names: BTreeMap<String, usize>,
}

impl FakeDisk {
    pub fn run(&mut self, op: &DiskOp) {
        match op {
            DiskOp::Append { file, bytes } => {
                let index = self.open(file);
                self.files[index].present.extend_from_slice(bytes);
            }
            DiskOp::Truncate { file, length } => {
                let index = self.open(file);
                self.files[index]
                    .present
                    .truncate(usize::try_from(*length).unwrap());
            }
            DiskOp::SyncFile(file) => {
                let index = self.open(file);
                self.files[index].synced = self.files[index].present.clone();
            }
            DiskOp::SyncFolder => self.synced_names = self.names.clone(),
            DiskOp::Rename { from, to } => {
                let index = self
                    .names
                    .remove(from)
                    .expect("only an existing file is renamed");
                self.names.insert(to.clone(), index);
            }
            DiskOp::Remove(file) => drop(self.names.remove(file)),
        }
    }

    fn open(&mut self, file: &str) -> usize {
        if let Some(index) = self.names.get(file) {
            return *index;
        }
        self.files.push(FakeFile::default());
        self.names.insert(file.to_owned(), self.files.len() - 1);
        self.files.len() - 1
    }

    /// Simulates a power loss: any part of the data that was not synced may be lost.
    pub fn crash(&mut self, rng: &mut ChaCha8Rng) {
        let all: Vec<String> = self
            .names
            .keys()
            .chain(self.synced_names.keys())
            .cloned()
            .collect();
        for name in all {
            if rng.random_bool(0.5) {
                continue;
            }
            match self.synced_names.get(&name) {
                Some(index) => drop(self.names.insert(name, *index)),
                None => drop(self.names.remove(&name)),
            }
        }
        for file in &mut self.files {
            tear(file, rng);
            file.synced = file.present.clone();
        }
        self.synced_names = self.names.clone();
    }

    pub fn files(&self) -> Vec<StoredFile> {
        let files = self.names.iter().map(|(name, index)| StoredFile {
            name: name.clone(),
            bytes: self.files[*index].present.clone().into(),
        });
        files.collect()
    }
}

fn tear(file: &mut FakeFile, rng: &mut ChaCha8Rng) {
    if !file.present.starts_with(&file.synced) {
        // The file was truncated; the truncation survives or not.
        if rng.random_bool(0.5) {
            file.present = file.synced.clone();
        }
        return;
    }
    let start = file.synced.len();
    let end = rng.random_range(start..=file.present.len());
    file.present.truncate(end);
    if end > start && rng.random_bool(0.3) {
        // A later page was written and an earlier one was not.
        let from = rng.random_range(start..end);
        let to = rng.random_range(from..end);
        file.present[from..to].fill(0);
    }
}
