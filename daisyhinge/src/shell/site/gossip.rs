//! Exchange of registry changes between control processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::serve::SiteRegistry;
use super::{SiteClient, call_context, connect_site};
use crate::vocabulary::quota::UsageRequest;
use crate::vocabulary::registration::{SyncCaller, SyncReply, SyncRequest};

/// Long-poll timeout: how long the peer waits for a change before it replies.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout for the reply, added to the long-poll timeout.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after reports on the use of quotas. Entries send them for nearly every request, and each one
/// would be passed on alone.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before reconnecting to a member.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The same during the first attempts, since the members may be starting as well.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(25);
const FIRST_RETRIES: u32 = 20;
/// Time without a reply after which all records are requested again: those of the member expire here
/// soon after, and it sends only what changed.
const RESYNC_AFTER: Duration = Duration::from_secs(3);

/// What has been received from another member.
#[derive(Debug, Default)]
struct FollowMarks {
    /// Epoch of the process that issued the marks.
    epoch: u64,
    /// Mark of the latest registry change.
    mark: u64,
    /// Mark of the latest rollout report.
    report_mark: u64,
    /// Mark of the latest report on the use of quotas.
    usage_mark: u64,
    /// Time of the latest reply.
    replied_at: Option<Instant>,
}

impl FollowMarks {
    /// Returns the marks of `reply`; only its epoch if the former one came too long ago.
    fn advance(&self, reply: &SyncReply) -> Self {
        let former = self.replied_at;
        let is_late = former.is_some_and(|at| at.elapsed() >= RESYNC_AFTER);
        let started = Self {
            epoch: reply.epoch,
            replied_at: Some(Instant::now()),
            ..Self::default()
        };
        if is_late {
            return started;
        }
        Self {
            mark: reply.mark,
            report_mark: reply.report_mark,
            usage_mark: reply.usage.mark,
            ..started
        }
    }
}

/// Receives registry changes from every other member of control, and adjusts to membership changes.
pub(super) async fn run_gossip(site_registry: SiteRegistry) {
    let own = site_registry.endpoint().address;
    let mut members = site_registry.shell().published_site().members.subscribe();
    let mut following: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    loop {
        let peers: Vec<SocketAddr> = members
            .borrow_and_update()
            .iter()
            .map(|address| SocketAddr::new(address.ip(), own.port()))
            .filter(|address| *address != own)
            .collect();
        following.retain(|address, task| {
            let stays = peers.contains(address);
            if !stays {
                task.abort();
                site_registry.record_level(*address, None);
            }
            stays
        });
        site_registry.retain_centres(&peers);
        for address in peers {
            following
                .entry(address)
                .or_insert_with(|| tokio::spawn(follow_member(site_registry.clone(), address)));
        }
        if members.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_member(site_registry: SiteRegistry, address: SocketAddr) {
    let mut marks = FollowMarks::default();
    for attempt in 0_u32.. {
        if let Some(client) = connect_site(address).await {
            let member = (address, &client);
            follow_connection(&site_registry, member, &mut marks).await;
            site_registry.record_level(address, None);
        }
        let delay = if attempt < FIRST_RETRIES {
            FIRST_RETRY_DELAY
        } else {
            RETRY_DELAY
        };
        tokio::time::sleep(delay).await;
    }
}

async fn follow_connection(
    site_registry: &SiteRegistry,
    (address, client): (SocketAddr, &SiteClient),
    marks: &mut FollowMarks,
) {
    loop {
        let request = SyncRequest {
            caller: SyncCaller::Control,
            epoch: marks.epoch,
            mark: marks.mark,
            revision: 0,
            crashes: None,
            rollouts: None,
            report_mark: marks.report_mark,
            usage: UsageRequest {
                report: None,
                mark: marks.usage_mark,
                incarnation: 0,
            },
            wait_ms: u64::try_from(LONG_POLL_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        };
        let call = client.sync(call_context(LONG_POLL_TIMEOUT + REPLY_TIMEOUT), request);
        let Ok(reply) = call.await else {
            return;
        };
        *marks = marks.advance(&reply);
        let has_reports = !reply.usage.reports.is_empty();
        site_registry.record_centre(address, reply.data_centre);
        site_registry.record_level(address, Some(reply.feature_level));
        site_registry.update(|now, registry| {
            if let Some(records) = reply.restored {
                registry.record_restored(address, records);
            }
            registry.merge_sent(now, reply.epoch, reply.replicas, reply.entries);
            for report in reply.crashes {
                registry.record_crashes(now, report);
            }
            for report in reply.rollouts {
                registry.record_rollouts(now, report);
            }
            for report in reply.usage.reports {
                registry.merge_usage(now, report);
            }
        });
        if has_reports {
            tokio::time::sleep(USAGE_INTERVAL).await;
        }
    }
}
