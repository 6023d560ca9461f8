//! Bootstraps the log, which happens once, when none of the first members has stored state, and
//! requests membership for a VM that is not a member.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;

use super::ControlShell;
use super::input::DriverInput;
use super::link::HelloReply;
use super::peer::{call_context, connect_voter, fetch_hello};
use crate::control::member::{VoterMember, VoterSet};
use crate::vocabulary::control::ControlRole;
use crate::vocabulary::setting::VoterPeer;

/// Delay between bootstrap attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay between bootstrap attempts with seeds.
const SEEDED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between membership checks, and timeout of a join request.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a confirmed state after which a member requests membership too; longer than an
/// election takes.
const UNCONFIRMED_MAX: Duration = Duration::from_secs(2);

/// Bootstraps the log if this VM has the lowest name among `peers`, as soon as all of them answer
/// and none has stored state. A VM that lost its disk finds that the others are initialised, and
/// waits until the leader adds it under its new identity.
pub(super) async fn run_bootstrap(shell: ControlShell, peers: Vec<VoterPeer>) {
    let initiator = peers.iter().map(|peer| &peer.vm).min();
    if initiator != Some(&shell.id().vm) {
        return;
    }
    loop {
        let Some(status) = shell.status().await else {
            return;
        };
        if status.commit > 0 {
            return;
        }
        if let Some(set) = gather_members(&shell, &peers).await {
            // The driver ends only when the shell stops.
            let _: Result<(), _> = shell.inputs.send(DriverInput::Bootstrap(set)).await;
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn gather_members(shell: &ControlShell, peers: &[VoterPeer]) -> Option<VoterSet> {
    let requests = peers.iter().map(|peer| fetch_member(shell, peer));
    let members: Option<Vec<VoterMember>> = join_all(requests).await.into_iter().collect();
    members.map(|members| VoterSet { members })
}

async fn fetch_member(shell: &ControlShell, peer: &VoterPeer) -> Option<VoterMember> {
    if peer.vm == shell.id().vm {
        let reply = HelloReply {
            id: shell.id().clone(),
            initialised: false,
        };
        return make_member(reply, shell.address(), peer);
    }
    make_member(fetch_hello(peer.address).await?, peer.address, peer)
}

fn make_member(reply: HelloReply, address: SocketAddr, peer: &VoterPeer) -> Option<VoterMember> {
    let eligible = reply.id.vm == peer.vm && !reply.initialised;
    eligible.then_some(VoterMember {
        id: reply.id,
        address,
        learner: false,
        replaces: None,
    })
}

/// Bootstraps the log with the VMs at `seeds` if this VM has the lowest of these addresses, as soon
/// as all of them answer and none has stored state.
pub(super) async fn run_seeded_bootstrap(shell: ControlShell, seeds: Vec<SocketAddr>) {
    if seeds.iter().min() != Some(&shell.address()) {
        return;
    }
    loop {
        match shell.status().await {
            Some(status) if status.commit == 0 => {}
            _ => return,
        }
        if let Some(set) = gather_seeds(&shell, &seeds).await {
            // The driver ends only when the shell stops.
            let _: Result<(), _> = shell.inputs.send(DriverInput::Bootstrap(set)).await;
            return;
        }
        tokio::time::sleep(SEEDED_RETRY_DELAY).await;
    }
}

async fn gather_seeds(shell: &ControlShell, seeds: &[SocketAddr]) -> Option<VoterSet> {
    let requests = seeds.iter().map(|address| async move {
        let id = if *address == shell.address() {
            shell.id().clone()
        } else {
            let reply = fetch_hello(*address).await?;
            (!reply.initialised).then_some(reply.id)?
        };
        Some(VoterMember {
            id,
            address: *address,
            learner: false,
            replaces: None,
        })
    });
    let members: Option<Vec<VoterMember>> = join_all(requests).await.into_iter().collect();
    members.map(|members| VoterSet { members })
}

/// Requests membership while this VM is not a member, from the seeds and from the last known
/// members. A member that was removed while it was silent does not have that change in its log, so a
/// VM also requests it while no quorum confirms its state; the request has no effect on members.
pub(super) async fn run_join(shell: ControlShell, seeds: Vec<SocketAddr>) {
    let opened_at = shell.clock().now();
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        let Some(status) = shell.status().await else {
            return;
        };
        let running_for = || shell.clock().now().since(opened_at);
        let unconfirmed_for = shell.quorum_age().unwrap_or_else(running_for);
        if status.role != ControlRole::Outside && unconfirmed_for < UNCONFIRMED_MAX {
            continue;
        }
        let known = shell.published_site().members.borrow().clone();
        let mut candidates: Vec<SocketAddr> = seeds.iter().chain(&known).copied().collect();
        candidates.sort_unstable();
        candidates.dedup();
        candidates.retain(|address| *address != shell.address());
        // At once: a stopped process accepts the connection and answers nothing.
        let requests = candidates
            .iter()
            .map(|address| request_join(&shell, *address));
        let mut leaders: Vec<SocketAddr> = join_all(requests).await.into_iter().flatten().collect();
        leaders.sort_unstable();
        leaders.dedup();
        join_all(leaders.iter().map(|leader| request_join(&shell, *leader))).await;
    }
}

/// Requests membership from the VM at `address`; returns the address of the leader if it is another
/// VM.
async fn request_join(shell: &ControlShell, address: SocketAddr) -> Option<SocketAddr> {
    let client = connect_voter(address).await?;
    let join = client.join(
        call_context(JOIN_INTERVAL),
        shell.id().clone(),
        shell.address(),
    );
    join.await.ok().flatten()
}
