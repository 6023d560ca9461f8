//! Changes and reads of the deployment's state, on this VM or relayed to the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{ControlShell, peer};
use crate::control::core::{CoreReply, CoreRequest};
use crate::prelude::*;
use crate::shell::link_version::{decode_named, encode_named};
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::freshness::QUORUM_AGE_MAX;
use crate::vocabulary::site::{CommittedSiteChange, SiteChange, SiteState};

/// Timeout of a change or a read of the deployment; callers give up after one second.
const SITE_TIMEOUT: Duration = Duration::from_millis(850);

/// Outcome of a change, and the leader that it was relayed to.
#[derive(Clone, Copy, Debug)]
pub struct ChangeOutcome {
    /// Address of the leader that the change was relayed to; `None` if it was not relayed.
    pub relayed_to: Option<SocketAddr>,
    /// Result of the change.
    pub result: Result<CommittedSiteChange, ResultCode>,
}

impl ControlShell {
    /// Changes the state of the deployment; relayed to the leader if this VM does not lead. The
    /// change is accepted once a quorum has synced it to disk.
    ///
    /// # Errors
    /// [`ResultCode::ChangeOutcomeUnknown`] if the change may still take effect; with any
    /// other code it was not made. [`ResultCode::FeatureLevelTooLow`] if some process may not support
    /// the change.
    pub async fn change_site(&self, change: SiteChange) -> Result<CommittedSiteChange, ResultCode> {
        self.change_site_traced(change).await.result
    }

    /// Like [`Self::change_site`], and returns the leader that the change was relayed to.
    pub async fn change_site_traced(&self, change: SiteChange) -> ChangeOutcome {
        let result = self.change_site_locally(change.clone()).await;
        if result != Err(ResultCode::NotLeader) {
            return ChangeOutcome {
                relayed_to: None,
                result,
            };
        }
        let relayed_to = self.find_leader().await;
        let result = match relayed_to {
            Some(leader) => self.relay_change(leader, change).await,
            None => Err(ResultCode::NotLeader),
        };
        ChangeOutcome { relayed_to, result }
    }

    async fn relay_change(
        &self,
        leader: SocketAddr,
        change: SiteChange,
    ) -> Result<CommittedSiteChange, ResultCode> {
        let client = peer::connect_voter(leader).await;
        let client = client.ok_or(ResultCode::NotLeader)?;
        let context = peer::call_context(SITE_TIMEOUT);
        let relayed = if change.is_base() {
            client.relay_site(context, change).await
        } else {
            client.relay_change(context, encode_named(&change)).await
        };
        match relayed {
            Ok(reply) => reply,
            Err(_) => Err(ResultCode::ChangeOutcomeUnknown),
        }
    }

    /// Changes the state of the deployment, if this VM leads.
    ///
    /// # Errors
    /// As [`Self::change_site`], and [`ResultCode::NotLeader`] if this VM does not lead.
    pub(in crate::shell) async fn change_site_locally(
        &self,
        change: SiteChange,
    ) -> Result<CommittedSiteChange, ResultCode> {
        self.check_level(&change)?;
        let call = self.call_core(CoreRequest::Site(change));
        match tokio::time::timeout(SITE_TIMEOUT, call).await {
            Ok(Some(CoreReply::Site(reply))) => reply,
            _ => Err(ResultCode::ChangeOutcomeUnknown),
        }
    }

    /// Checks that all members of control know a change: one that they cannot decode would stop them.
    fn check_level(&self, change: &SiteChange) -> Result<(), ResultCode> {
        let level = self.published_site.state.borrow().feature_level;
        if level < change.required_level() {
            return Err(ResultCode::FeatureLevelTooLow);
        }
        Ok(())
    }

    /// State of the deployment, confirmed by a quorum after the call; relayed to the leader if this
    /// VM does not lead.
    ///
    /// # Errors
    /// [`ResultCode::NotLeader`] or [`ResultCode::NoQuorum`].
    pub async fn read_site(&self) -> Result<Arc<SiteState>, ResultCode> {
        match self.read_site_locally().await {
            Err(ResultCode::NotLeader) => {}
            reply => return reply,
        }
        let leader = self.find_leader().await.ok_or(ResultCode::NotLeader)?;
        // The applied level selects the call, and an outdated one would leave out parts of the state.
        if self.quorum_age().is_none_or(|age| age >= QUORUM_AGE_MAX) {
            return Err(ResultCode::NoQuorum);
        }
        let client = peer::connect_voter(leader).await;
        let client = client.ok_or(ResultCode::NotLeader)?;
        let context = peer::call_context(SITE_TIMEOUT);
        // The leader may be a build of the base level until the level is raised.
        if self.published_site.state.borrow().feature_level > FeatureLevel::BASE {
            return match client.relay_read_state(context).await {
                Ok(Ok(bytes)) => decode_named(&bytes)
                    .map(Arc::new)
                    .ok_or(ResultCode::NoQuorum),
                Ok(Err(code)) => Err(code),
                Err(_) => Err(ResultCode::NoQuorum),
            };
        }
        match client.relay_read_site(context).await {
            Ok(reply) => reply.map(|state| Arc::new(state.into())),
            Err(_) => Err(ResultCode::NoQuorum),
        }
    }

    /// Raises the feature level, if this VM is the leader.
    ///
    /// # Errors
    /// [`ResultCode::NotLeader`], or [`ResultCode::ChangeOutcomeUnknown`] if the change may still
    /// take effect.
    pub async fn raise_level(
        &self,
        level: FeatureLevel,
    ) -> Result<CommittedSiteChange, ResultCode> {
        self.change_site_locally(SiteChange::RaiseLevel(level))
            .await
    }

    /// State of the deployment, confirmed by a quorum after the call.
    ///
    /// # Errors
    /// [`ResultCode::NotLeader`] if this VM does not lead, or [`ResultCode::NoQuorum`].
    pub(in crate::shell) async fn read_site_locally(&self) -> Result<Arc<SiteState>, ResultCode> {
        let call = self.call_core(CoreRequest::ReadSite);
        match tokio::time::timeout(SITE_TIMEOUT, call).await {
            Ok(Some(CoreReply::ReadSite(reply))) => reply,
            _ => Err(ResultCode::NoQuorum),
        }
    }
}
