//! How a fake backend server announces itself, again and again, where it was told to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaDeparture};

use crate::http::{HttpCaller, build_caller, post_json};
use crate::server::share::FakeShare;

/// Longest wait for the reply to an announcement.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(1);
/// Wait before the next entry is tried after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Bounds of the interval that a reply may ask for, in milliseconds.
const REPEAT_MIN_MS: u64 = 20;
const REPEAT_MAX_MS: u64 = 10_000;

/// Announces until `share` stops.
pub(crate) async fn run_announcer(share: Arc<FakeShare>) {
    let caller = build_caller();
    let first = share.settings.entries.clone();
    let mut entries = first.clone();
    let mut failures = 0;
    while !share.stop.is_cancelled() {
        let pause = if let Some(reply) = announce_once(&share, &caller, &entries).await {
            failures = 0;
            if !reply.entries.is_empty() {
                entries.clone_from(&reply.entries);
            }
            Duration::from_millis(reply.repeat_ms.clamp(REPEAT_MIN_MS, REPEAT_MAX_MS))
        } else {
            failures += 1;
            entries = next_entries(entries, &first, failures);
            RETRY_PAUSE
        };
        tokio::select! {
            () = share.stop.cancelled() => {}
            () = share.announce.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Moves the entry that failed to the end; goes back to the first ones once all have failed.
fn next_entries(
    mut entries: Vec<SocketAddr>,
    first: &[SocketAddr],
    failures: usize,
) -> Vec<SocketAddr> {
    if failures >= entries.len() && failures.is_multiple_of(entries.len().max(1)) {
        let mut all = first.to_vec();
        all.extend(entries.into_iter().filter(|entry| !first.contains(entry)));
        return all;
    }
    entries.rotate_left(1);
    entries
}

async fn announce_once(
    share: &FakeShare,
    caller: &HttpCaller,
    entries: &[SocketAddr],
) -> Option<AnnounceReply> {
    let entry = *entries.first()?;
    let announcement = build_announcement(share)?;
    let reply = post_json(caller, entry, "/v1/announce", &announcement, ANNOUNCE_LIMIT)
        .await
        .ok()?;
    let reply = reply.read_json::<AnnounceReply>()?;
    share.note_reply(&reply);
    (reply.code == ResultCode::Ok).then_some(reply)
}

fn build_announcement(share: &FakeShare) -> Option<ReplicaAnnouncement> {
    let next = share.core.lock().next_announcement();
    if next.silent || share.is_down() {
        return None;
    }
    let settings = &share.settings;
    Some(ReplicaAnnouncement {
        replica: settings.replica.clone(),
        service: settings.service.clone(),
        data_centre: settings.data_centre.clone(),
        address: share.named_address(),
        slots: settings.slots,
        connections: settings.connections,
        state: next.state,
        incarnation: next.incarnation,
        sequence: next.sequence,
        cold_allowance: settings.cold_allowance,
        snapshots: next.snapshots.into(),
    })
}

/// Tells one entry after the other that the replica leaves, until one accepts.
pub(crate) async fn send_leave(share: &FakeShare) -> Option<AnnounceReply> {
    let caller = build_caller();
    let leave = ReplicaDeparture {
        replica: share.settings.replica.clone(),
        incarnation: share.core.lock().incarnation,
    };
    let told = share.told_entries();
    for entry in told.iter().chain(&share.settings.entries) {
        if let Ok(reply) = post_json(&caller, *entry, "/v1/leave", &leave, ANNOUNCE_LIMIT).await
            && let Some(reply) = reply.read_json::<AnnounceReply>()
            && reply.code == ResultCode::Ok
        {
            return Some(reply);
        }
    }
    None
}
