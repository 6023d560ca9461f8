//! File with the replicas that a control process knows, for its next start.
//!
//! The file may be lost or unreadable; the process then waits for heartbeats. It is written a while
//! after each change, and before a departure is acknowledged.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::serve::SiteRegistry;
use super::store_request::StoreRequest;
use crate::registry::ServerRegistry;
use crate::shell::link_version::{decode_named, encode_named};
use crate::vocabulary::registration::ReplicaRecord;

/// Name of the file in the data folder.
const FILE_NAME: &str = "replicas";
/// Name under which it is written.
const NEW_FILE_NAME: &str = "replicas.new";
/// Time between two checks for changes to be written.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks whether the stored replicas can be used.
const USE_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of queued requests to write.
const REQUESTS_MAX: usize = 1_024;

impl SiteRegistry {
    /// Reads the replicas stored in `folder` before this process started, uses them once the other
    /// members have told theirs, and stores the known replicas from now on.
    pub fn open_stored(&self, folder: &Path) {
        if let Some(stored) = read_stored(folder) {
            self.update(|now, registry| registry.restore(now, stored));
            tokio::spawn(use_stored(self.clone()));
        }
        let (requests, receiver) = mpsc::channel(REQUESTS_MAX);
        // Opened once, before any departure is received.
        drop(self.store_requests.set(requests));
        tokio::spawn(run_writes(self.clone(), folder.to_owned(), receiver));
    }

    /// Writes the known replicas, and returns once they are synced or cannot be.
    pub async fn sync_stored(&self) {
        self.request_store(StoreRequest::Sync).await;
    }

    /// Removes the stored replicas for good, since a process that stops as planned may be followed by
    /// a build that does not keep them up to date.
    pub async fn remove_stored(&self) {
        self.request_store(StoreRequest::Remove).await;
    }

    async fn request_store(&self, request: fn(oneshot::Sender<()>) -> StoreRequest) {
        let Some(requests) = self.store_requests.get() else {
            return;
        };
        let (done, finished) = oneshot::channel();
        if requests.send(request(done)).await.is_ok() {
            // The task ends without an answer only after the file has been removed.
            let _: Result<(), _> = finished.await;
        }
    }
}

fn remove_file(folder: &Path) {
    // A file that is not there needs no removal.
    drop(fs::remove_file(folder.join(FILE_NAME)));
}

fn read_stored(folder: &Path) -> Option<Vec<ReplicaRecord>> {
    decode_named(&fs::read(folder.join(FILE_NAME)).ok()?)
}

/// Waits until a quorum is known, so that the members are those of the newest log, and until all of
/// them have told their stored replicas.
async fn use_stored(site_registry: SiteRegistry) {
    let published = site_registry.shell().published_site();
    if published
        .has_quorum
        .subscribe()
        .wait_for(|gained| *gained)
        .await
        .is_err()
    {
        return;
    }
    let own = site_registry.endpoint().address;
    while site_registry.with_registry(|registry| registry.restored().is_some()) {
        let members: Vec<SocketAddr> = published
            .members
            .borrow()
            .iter()
            .map(|member| SocketAddr::new(member.ip(), own.port()))
            .collect();
        let used = site_registry.update(|now, registry| registry.use_restored(now, &members, own));
        if used.is_some() {
            return;
        }
        tokio::time::sleep(USE_INTERVAL).await;
    }
}

async fn run_writes(
    site_registry: SiteRegistry,
    folder: PathBuf,
    mut requests: mpsc::Receiver<StoreRequest>,
) {
    let published = site_registry.shell().published_site();
    let has_quorum = published.has_quorum.subscribe();
    let mut written = None;
    loop {
        let request = tokio::time::timeout(WRITE_INTERVAL, requests.recv()).await;
        let mut next = match request {
            Ok(None) => return,
            Ok(request) => request,
            Err(_elapsed) => None,
        };
        let mut waiting = Vec::new();
        while let Some(request) = next {
            match request {
                StoreRequest::Sync(done) => waiting.push(done),
                StoreRequest::Remove(done) => {
                    remove_file(&folder);
                    let _: Result<(), ()> = done.send(());
                    return;
                }
            }
            next = requests.try_recv().ok();
        }
        let is_pending = |registry: &ServerRegistry| registry.restored().is_some();
        let state = site_registry.with_registry(|registry| (registry.mark(), is_pending(registry)));
        // The syncs of the first election are not to wait for this one. What was stored before the
        // start is still valid.
        let is_due = *has_quorum.borrow() && written != Some(state);
        if !is_due && waiting.is_empty() {
            continue;
        }
        let now = site_registry.now();
        let records = site_registry.with_registry(|registry| registry.list_stored(now));
        let target = folder.clone();
        let write = move || write_stored(&target, &encode_named(&records));
        let result = tokio::task::spawn_blocking(write).await;
        if !matches!(result, Ok(Ok(()))) {
            // An outdated file would name replicas that have left.
            remove_file(&folder);
        }
        written = Some(state);
        for done in waiting {
            // The caller may have given up.
            let _: Result<(), ()> = done.send(());
        }
    }
}

fn write_stored(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = folder.join(NEW_FILE_NAME);
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_data()?;
    fs::rename(new, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
