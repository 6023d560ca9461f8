//! Periodic announcements of a fake backend server to the entries that the last reply assigned.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaDeparture};

use crate::http::{HttpClient, build_client, post_json};
use crate::server::shared::ServerShared;

/// Timeout for the reply to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next entry is tried after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Bounds of the announcement interval that a reply may request, in milliseconds.
const REPEAT_MIN_MS: u64 = 20;
const REPEAT_MAX_MS: u64 = 10_000;

/// Announces the replica until `shared` is stopped.
pub(crate) async fn run_announcer(shared: Arc<ServerShared>) {
    let client = build_client();
    let configured = shared.settings.entries.clone();
    let mut entries = configured.clone();
    let mut failures = 0;
    while !shared.stop.is_cancelled() {
        let pause = if let Some(reply) = announce_once(&shared, &client, &entries).await {
            failures = 0;
            if !reply.entries.is_empty() {
                entries.clone_from(&reply.entries);
            }
            Duration::from_millis(reply.repeat_ms.clamp(REPEAT_MIN_MS, REPEAT_MAX_MS))
        } else {
            failures += 1;
            entries = next_entries(entries, &configured, failures);
            RETRY_DELAY
        };
        tokio::select! {
            () = shared.stop.cancelled() => {}
            () = shared.announce.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Moves the failed entry to the end of the list; starts again from the configured entries once all
/// have failed.
fn next_entries(
    mut entries: Vec<SocketAddr>,
    configured: &[SocketAddr],
    failures: usize,
) -> Vec<SocketAddr> {
    if failures >= entries.len() && failures.is_multiple_of(entries.len().max(1)) {
        let mut all = configured.to_vec();
        all.extend(
            entries
                .into_iter()
                .filter(|entry| !configured.contains(entry)),
        );
        return all;
    }
    entries.rotate_left(1);
    entries
}

async fn announce_once(
    shared: &ServerShared,
    client: &HttpClient,
    entries: &[SocketAddr],
) -> Option<AnnounceReply> {
    let entry = *entries.first()?;
    let announcement = build_announcement(shared)?;
    let reply = post_json(
        client,
        entry,
        "/v1/announce",
        &announcement,
        ANNOUNCE_TIMEOUT,
    )
    .await
    .ok()?;
    let reply = reply.read_json::<AnnounceReply>()?;
    shared.record_reply(&reply);
    (reply.code == ResultCode::Ok).then_some(reply)
}

fn build_announcement(shared: &ServerShared) -> Option<ReplicaAnnouncement> {
    let next = shared.core.lock().next_announcement();
    if next.silent || shared.is_down() {
        return None;
    }
    let settings = &shared.settings;
    Some(ReplicaAnnouncement {
        replica: settings.replica.clone(),
        service: settings.service.clone(),
        data_centre: settings.data_centre.clone(),
        address: shared.announced_address(),
        slots: settings.slots,
        connections: settings.connections,
        state: next.state,
        incarnation: next.incarnation,
        sequence: next.sequence,
        cold_allowance: settings.cold_allowance,
        snapshots: next.snapshots.into(),
    })
}

/// Sends the departure of the replica to one entry after another until one accepts it.
pub(crate) async fn send_departure(shared: &ServerShared) -> Option<AnnounceReply> {
    let client = build_client();
    let departure = ReplicaDeparture {
        replica: shared.settings.replica.clone(),
        incarnation: shared.core.lock().incarnation,
    };
    let assigned = shared.assigned_entries();
    for entry in assigned.iter().chain(&shared.settings.entries) {
        if let Ok(reply) =
            post_json(&client, *entry, "/v1/leave", &departure, ANNOUNCE_TIMEOUT).await
            && let Some(reply) = reply.read_json::<AnnounceReply>()
            && reply.code == ResultCode::Ok
        {
            return Some(reply);
        }
    }
    None
}
