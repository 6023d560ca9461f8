//! The entry's side: follows the nearest control process that a quorum stands behind.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::{SiteLinkClient, call_context, connect_site};
use crate::prelude::*;
use crate::vocabulary::registration::{EntryPhase, SyncAsk, SyncCaller, SyncReply};

/// Longest wait for something new.
const WAIT_SPAN: Duration = Duration::from_millis(500);
/// Longest wait for an answer besides.
const ANSWER_SPAN: Duration = Duration::from_millis(500);
/// Pause after all control processes failed.
const RETRY_SPAN: Duration = Duration::from_millis(100);
/// Evidence of a quorum older than this sends an entry to another control process.
const QUORUM_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Time for which a control process is followed that has not seen a quorum since it started.
const START_SPAN: Duration = Duration::from_millis(1_200);
/// Control processes that are remembered.
const ADDRESSES_MAX: usize = 256;

/// Who follows, and where control processes are.
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// The entry's VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Where callers connect to it.
    pub address: SocketAddr,
    /// Control processes that are known at the start, as followers connect to them.
    pub seeds: Vec<SocketAddr>,
    /// Orders control processes: those of a lower rank are preferred.
    pub rank: fn(&SocketAddr, &SocketAddr) -> u8,
}

/// Takes what is told; the flag says whether a quorum stands behind it.
pub type ReplySink = Arc<dyn Fn(SyncReply, bool) + Send + Sync>;

/// Tells of the link to control: gained or lost, with the address.
pub type LinkSink = Arc<dyn Fn(SocketAddr, bool) + Send + Sync>;

/// What the follower knows of control processes.
struct FollowState {
    settings: FollowSettings,
    incarnation: u64,
    /// Known control processes, with how often each was left since it last served.
    addresses: BTreeMap<SocketAddr, u32>,
    epoch: u64,
    mark: u64,
    revision: u64,
}

/// Follows until it is dropped. `phases` says whether the entry takes requests.
pub async fn run_following(
    settings: FollowSettings,
    mut phases: watch::Receiver<EntryPhase>,
    sink: ReplySink,
    link: LinkSink,
) {
    let addresses = settings.seeds.iter().map(|seed| (*seed, 0)).collect();
    let mut state = FollowState {
        settings,
        incarnation: rand::random(),
        addresses,
        epoch: 0,
        mark: 0,
        revision: 0,
    };
    loop {
        let Some(address) = state.next_address() else {
            return;
        };
        if let Some(client) = connect_site(address).await {
            link(address, true);
            state
                .follow_connection(address, &client, &mut phases, &sink)
                .await;
            link(address, false);
        }
        let left = state.addresses.entry(address).or_default();
        *left += 1;
        let all_left = state.addresses.values().all(|left| *left > 0);
        if all_left {
            tokio::time::sleep(RETRY_SPAN).await;
            state.addresses.values_mut().for_each(|left| *left -= 1);
        }
    }
}

impl FollowState {
    /// The control process that was left least often, and of these the nearest.
    fn next_address(&self) -> Option<SocketAddr> {
        let settings = &self.settings;
        let rank = |address: &SocketAddr| (settings.rank)(&settings.address, address);
        let order = |(address, left): &(&SocketAddr, &u32)| {
            let spread = self.incarnation ^ u64::from(hash_octets(address));
            (**left, rank(address), spread)
        };
        let best = self.addresses.iter().min_by_key(order);
        best.map(|(address, _)| *address)
    }

    async fn follow_connection(
        &mut self,
        address: SocketAddr,
        client: &SiteLinkClient,
        phases: &mut watch::Receiver<EntryPhase>,
        sink: &ReplySink,
    ) {
        let mut first = true;
        let opened = Instant::now();
        loop {
            let phase = *phases.borrow_and_update();
            let wait = if first { Duration::ZERO } else { WAIT_SPAN };
            let ask = self.ask(phase, wait);
            let call = client.sync(call_context(wait + ANSWER_SPAN), ask);
            let reply = tokio::select! {
                reply = call => reply,
                // What changed here is told at once.
                changed = phases.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    first = true;
                    continue;
                }
            };
            let Ok(reply) = reply else {
                return;
            };
            first = false;
            let fresh = reply
                .quorum_age_ms
                .is_some_and(|age| Duration::from_millis(age) < QUORUM_AGE_MAX);
            let starting = reply.quorum_age_ms.is_none();
            self.note_reply(&reply, address.port());
            sink(reply, fresh);
            if fresh {
                self.addresses.insert(address, 0);
            } else if starting && opened.elapsed() < START_SPAN {
                // All of them may have just started: going from one to the next would only keep
                // them from finding a leader.
                tokio::time::sleep(RETRY_SPAN).await;
                first = true;
            } else {
                return;
            }
        }
    }

    fn ask(&self, phase: EntryPhase, wait: Duration) -> SyncAsk {
        SyncAsk {
            caller: SyncCaller::Entry {
                vm: self.settings.vm.clone(),
                incarnation: self.incarnation,
                address: self.settings.address,
                data_centre: self.settings.data_centre.clone(),
                phase,
            },
            epoch: self.epoch,
            mark: self.mark,
            revision: self.revision,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn note_reply(&mut self, reply: &SyncReply, port: u16) {
        self.epoch = reply.epoch;
        self.mark = reply.mark;
        if let Some(site) = &reply.site {
            self.revision = self.revision.max(site.revision);
        }
        let listed: Vec<SocketAddr> = reply
            .control
            .iter()
            .map(|address| SocketAddr::new(address.ip(), port))
            .collect();
        if !listed.is_empty() {
            let seeds = &self.settings.seeds;
            self.addresses
                .retain(|address, _| listed.contains(address) || seeds.contains(address));
        }
        for address in listed.into_iter().take(ADDRESSES_MAX) {
            self.addresses.entry(address).or_default();
        }
    }
}

/// Spreads followers over control processes of the same rank.
fn hash_octets(address: &SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(address) => u32::from(*address.ip()).wrapping_mul(0x9e37_79b9),
        SocketAddr::V6(address) => u32::from(address.port()),
    }
}
