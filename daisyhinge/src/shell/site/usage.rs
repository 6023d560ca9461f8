//! Waiting for changes of the use of quotas that an entry or another control process must learn of.

use std::time::Duration;

use tokio::sync::watch;

use crate::prelude::*;
use crate::vocabulary::registration::{SyncCaller, SyncRequest};

/// Minimum time between two replies to an entry because of the use of quotas.
const REPLY_INTERVAL: Duration = Duration::from_millis(100);

/// Whom a change of the use of quotas concerns.
pub(super) enum UsageFollower {
    Control,
    /// Entry that follows the use at the others, with the incarnation in its reports.
    Entry(VmName, u64),
    /// Entry of a build that learns of the others only in replies to its reports.
    None,
}

impl UsageFollower {
    pub(super) fn of(request: &SyncRequest) -> Self {
        match &request.caller {
            SyncCaller::Control => Self::Control,
            SyncCaller::Entry { vm, .. } if request.usage.incarnation != 0 => {
                Self::Entry(vm.clone(), request.usage.incarnation)
            }
            SyncCaller::Entry { .. } | SyncCaller::Probe => Self::None,
        }
    }
}

/// Waits until there is something to tell the follower about the use of quotas after `mark`, as far as
/// `has_news` states for an entry.
pub(super) async fn wait_for_usage(
    mut marks: watch::Receiver<u64>,
    follower: &UsageFollower,
    mark: u64,
    has_news: impl Fn(VmName, u64) -> bool,
) {
    match follower {
        UsageFollower::Control => {
            drop(marks.wait_for(|newest| *newest > mark).await);
        }
        UsageFollower::Entry(vm, incarnation) => loop {
            tokio::time::sleep(REPLY_INTERVAL).await;
            marks.mark_unchanged();
            if has_news(vm.clone(), *incarnation) || marks.changed().await.is_err() {
                return;
            }
        },
        UsageFollower::None => std::future::pending().await,
    }
}
