//! Replies of a control process to the long polls of entries and of other control processes.

use std::sync::Arc;
use std::time::Duration;

use super::serve::SiteRegistry;
use super::usage::{UsageFollower, wait_for_usage};
use crate::prelude::*;
use crate::registry::ServerRegistry;
use crate::vocabulary::clock::duration_to_millis;
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::quota::{UsageReply, UsageRequest};
use crate::vocabulary::registration::{SyncCaller, SyncReply, SyncRequest};
use crate::vocabulary::site::SiteState;

/// Maximum long-poll timeout that a caller may request.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// What the caller of a long poll has received already.
#[derive(Clone, Copy, Debug)]
struct ReceivedState {
    is_entry: bool,
    /// Whether the caller is a control process that has received nothing of this one.
    is_first: bool,
    mark: u64,
    report_mark: u64,
    usage_mark: u64,
    /// Revision of the site state.
    revision: u64,
}

impl ReceivedState {
    /// Reads what a request states. The marks of a process with another epoch mean nothing here.
    fn of(request: &SyncRequest, epoch: u64) -> Self {
        let is_entry = matches!(request.caller, SyncCaller::Entry { .. });
        let follows = request.epoch == epoch;
        let known = |mark: u64| if follows { mark } else { 0 };
        Self {
            is_entry,
            is_first: !is_entry && !follows,
            mark: known(request.mark),
            report_mark: known(request.report_mark),
            usage_mark: known(request.usage.mark),
            revision: request.revision,
        }
    }

    /// Returns whether a state must be sent. Control processes have their own.
    fn lacks(&self, state: &SiteState) -> bool {
        self.is_entry && state.revision > self.revision
    }
}

impl SiteRegistry {
    /// Answers a long poll once there is a change, or after the time that the caller waits.
    pub(super) async fn answer(&self, request: SyncRequest) -> SyncReply {
        if request.caller == SyncCaller::Probe {
            return self.answer_probe();
        }
        let received = ReceivedState::of(&request, self.with_registry(ServerRegistry::epoch));
        let follower = UsageFollower::of(&request);
        let vm = match &request.caller {
            SyncCaller::Entry { vm, .. } => Some(vm.clone()),
            SyncCaller::Control | SyncCaller::Probe => None,
        };
        self.record_caller(request.caller);
        self.record_revision(vm.as_ref(), received.revision);
        if let Some(report) = request.crashes {
            self.update(|now, registry| registry.record_crashes(now, report));
        }
        if let Some(report) = request.rollouts {
            self.update(|now, registry| registry.record_rollouts(now, report));
        }
        if let Some(report) = &request.usage.report {
            self.update(|now, registry| registry.record_usage(now, report.clone()));
        }
        let has_restored = self.with_registry(|registry| registry.restored().is_some());
        let wait = if received.is_first && has_restored {
            Duration::ZERO
        } else {
            Duration::from_millis(request.wait_ms).min(WAIT_MAX)
        };
        // A reply without changes still shows that this process and a quorum are alive.
        let changed = self.wait_for_change(&received, &follower);
        let _: Result<(), _> = tokio::time::timeout(wait, changed).await;
        self.build_reply(&received, vm.as_ref(), request.usage)
    }

    /// Waits until there is something that the caller has not received.
    async fn wait_for_change(&self, received: &ReceivedState, follower: &UsageFollower) {
        let ReceivedState {
            is_entry,
            mark,
            report_mark,
            usage_mark,
            ..
        } = *received;
        let mut marks = self.mark.subscribe();
        let mut report_marks = self.report_mark.subscribe();
        let usage_marks = self.usage_mark.subscribe();
        let mut states = self.published.subscribe();
        let mut quorum = self.shell.published_site().has_quorum.subscribe();
        let lacks_quorum = !*quorum.borrow_and_update();
        let mut confirmed_states = self.published.subscribe();
        // A state that was not the newest one when the quorum confirmed it would have no age.
        let gain_quorum = async {
            if quorum.changed().await.is_ok() {
                let newest = self.shell.published_site().state.borrow().revision;
                let published = confirmed_states.wait_for(|state| state.revision >= newest);
                drop(published.await);
            }
        };
        let has_news = |vm: VmName, incarnation: u64| {
            let now = self.now();
            self.with_registry(|registry| {
                registry.has_usage_news(now, (&vm, incarnation), usage_mark)
            })
        };
        tokio::select! {
            changed = marks.wait_for(|newest| *newest > mark) => drop(changed),
            changed = states.wait_for(|state| received.lacks(state)) => drop(changed),
            () = gain_quorum, if is_entry && lacks_quorum => {}
            changed = report_marks.wait_for(|newest| !is_entry && *newest > report_mark) => {
                drop(changed);
            }
            () = wait_for_usage(usage_marks, follower, usage_mark, has_news) => {}
        }
    }

    fn build_reply(
        &self,
        received: &ReceivedState,
        vm: Option<&VmName>,
        usage: UsageRequest,
    ) -> SyncReply {
        let site = Arc::clone(&self.published.borrow());
        let age = self.shell.state_age(site.revision);
        let now = self.now();
        let control = self.list_control();
        let mut registry = self.registry.lock();
        let usage = match vm {
            Some(vm) => {
                let request = UsageRequest {
                    mark: received.usage_mark,
                    ..usage
                };
                registry.usage_of_others(now, vm, &request)
            }
            None => registry.usage_after(now, received.usage_mark),
        };
        SyncReply {
            epoch: registry.epoch(),
            mark: registry.mark(),
            replicas: registry.replicas_after(now, received.mark),
            entries: registry.entries_after(received.mark),
            crashes: registry.crashes_after(now, received.mark),
            rollouts: if received.is_entry {
                Vec::new()
            } else {
                registry.rollouts_after(received.report_mark)
            },
            report_mark: registry.report_mark(),
            complete: received.mark == 0,
            site: received.lacks(&site).then_some(site),
            quorum_age_ms: age.map(duration_to_millis),
            data_centre: self.endpoint.data_centre.clone(),
            control,
            feature_level: FeatureLevel::SUPPORTED,
            usage,
            restored: if received.is_first {
                registry.restored().map(<[_]>::to_vec)
            } else {
                None
            },
        }
    }

    /// Builds a reply that describes only this process.
    fn answer_probe(&self) -> SyncReply {
        let age = self.shell.state_age(self.published.borrow().revision);
        SyncReply {
            epoch: self.with_registry(ServerRegistry::epoch),
            mark: 0,
            replicas: Vec::new(),
            entries: Vec::new(),
            crashes: Vec::new(),
            rollouts: Vec::new(),
            report_mark: 0,
            complete: false,
            site: None,
            quorum_age_ms: age.map(duration_to_millis),
            data_centre: self.endpoint.data_centre.clone(),
            control: Vec::new(),
            feature_level: FeatureLevel::SUPPORTED,
            usage: UsageReply::default(),
            restored: None,
        }
    }
}
