//! Control processes follow one another's registries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::serve::SiteKeeper;
use super::{SiteLinkClient, call_context, connect_site};
use crate::vocabulary::registration::{SyncCaller, SyncRequest};

/// Longest wait for something new.
const WAIT_SPAN: Duration = Duration::from_millis(1_200);
/// Longest wait for an answer besides.
const ANSWER_SPAN: Duration = Duration::from_millis(600);
/// Pause after a failure.
const RETRY_SPAN: Duration = Duration::from_millis(200);

/// Follows every other member of control, as members come and go.
pub(super) async fn run_gossip(keeper: SiteKeeper) {
    let own = keeper.place().address;
    let mut members = keeper.shell().board().members.subscribe();
    let mut following: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    loop {
        let listed: Vec<SocketAddr> = members
            .borrow_and_update()
            .iter()
            .map(|address| SocketAddr::new(address.ip(), own.port()))
            .filter(|address| *address != own)
            .collect();
        following.retain(|address, task| {
            let stays = listed.contains(address);
            if !stays {
                task.abort();
            }
            stays
        });
        keeper.keep_centres(&listed);
        for address in listed {
            following
                .entry(address)
                .or_insert_with(|| tokio::spawn(follow_member(keeper.clone(), address)));
        }
        if members.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_member(keeper: SiteKeeper, address: SocketAddr) {
    let mut epoch = 0;
    let mut mark = 0;
    loop {
        if let Some(client) = connect_site(address).await {
            let member = (address, &client);
            follow_connection(&keeper, member, &mut epoch, &mut mark).await;
        }
        tokio::time::sleep(RETRY_SPAN).await;
    }
}

async fn follow_connection(
    keeper: &SiteKeeper,
    (address, client): (SocketAddr, &SiteLinkClient),
    epoch: &mut u64,
    mark: &mut u64,
) {
    loop {
        let ask = SyncRequest {
            caller: SyncCaller::Control,
            epoch: *epoch,
            mark: *mark,
            revision: 0,
            wait_ms: u64::try_from(WAIT_SPAN.as_millis()).unwrap_or(u64::MAX),
        };
        let call = client.sync(call_context(WAIT_SPAN + ANSWER_SPAN), ask);
        let Ok(reply) = call.await else {
            return;
        };
        *epoch = reply.epoch;
        *mark = reply.mark;
        keeper.note_centre(address, reply.data_centre);
        keeper.update(|now, registry| {
            registry.record_contact(now, reply.epoch);
            for record in reply.replicas {
                registry.merge_replica(now, &record);
            }
            for presence in reply.entries {
                registry.merge_entry(now, presence);
            }
        });
    }
}
