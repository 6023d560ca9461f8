//! Changes and reads of the deployment's state, here or at the leader.

use std::sync::Arc;
use std::time::Duration;

use super::{ControlShell, peer};
use crate::control::core::{CoreReply, CoreRequest};
use crate::prelude::*;
use crate::vocabulary::site::{CommittedSiteChange, SiteChange, SiteState};

/// Longest wait for a change or a read of the deployment, whose callers move on after a second.
const SITE_SPAN: Duration = Duration::from_millis(850);
impl ControlShell {
    /// Changes the deployment; relayed to the leader if this VM does not lead. It is accepted
    /// once a quorum has it on synced disks.
    ///
    /// # Errors
    /// [`ResultCode::ChangeOutcomeUnknown`] if it may yet come in force, other codes if it does
    /// not.
    pub async fn change_site(&self, change: SiteChange) -> Result<CommittedSiteChange, ResultCode> {
        match self.change_site_here(change.clone()).await {
            Err(ResultCode::NotLeader) => {}
            reply => return reply,
        }
        let leader = self.find_leader().await.ok_or(ResultCode::NotLeader)?;
        let client = peer::connect_voter(leader).await;
        let client = client.ok_or(ResultCode::NotLeader)?;
        let context = peer::call_context(SITE_SPAN);
        match client.relay_site(context, change).await {
            Ok(reply) => reply,
            Err(_) => Err(ResultCode::ChangeOutcomeUnknown),
        }
    }

    pub(super) async fn change_site_here(
        &self,
        change: SiteChange,
    ) -> Result<CommittedSiteChange, ResultCode> {
        let asked = self.ask(CoreRequest::Site(change));
        match tokio::time::timeout(SITE_SPAN, asked).await {
            Ok(Some(CoreReply::Site(reply))) => reply,
            _ => Err(ResultCode::ChangeOutcomeUnknown),
        }
    }

    /// The deployment's state, confirmed by a quorum after the call; relayed to the leader if
    /// this VM does not lead.
    ///
    /// # Errors
    /// [`ResultCode::NotLeader`] or [`ResultCode::NoQuorum`].
    pub async fn read_site(&self) -> Result<Arc<SiteState>, ResultCode> {
        match self.read_site_here().await {
            Err(ResultCode::NotLeader) => {}
            reply => return reply,
        }
        let leader = self.find_leader().await.ok_or(ResultCode::NotLeader)?;
        let client = peer::connect_voter(leader).await;
        let client = client.ok_or(ResultCode::NotLeader)?;
        let context = peer::call_context(SITE_SPAN);
        match client.relay_read_site(context).await {
            Ok(reply) => reply.map(Arc::new),
            Err(_) => Err(ResultCode::NoQuorum),
        }
    }

    pub(super) async fn read_site_here(&self) -> Result<Arc<SiteState>, ResultCode> {
        let asked = self.ask(CoreRequest::ReadSite);
        match tokio::time::timeout(SITE_SPAN, asked).await {
            Ok(Some(CoreReply::ReadSite(reply))) => reply,
            _ => Err(ResultCode::NoQuorum),
        }
    }
}
