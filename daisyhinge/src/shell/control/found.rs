//! Founding the log: once, when every first member holds nothing.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;

use super::ControlShell;
use super::input::DriverInput;
use super::link::HelloReply;
use super::peer::{ask_hello, call_context, connect_voter};
use crate::control::member::{VoterMember, VoterSet};
use crate::vocabulary::control::ControlRole;
use crate::vocabulary::setting::VoterPeer;

/// Pause between attempts.
const RETRY_SPAN: Duration = Duration::from_millis(200);

/// Pause between attempts with seeds.
const SEEDED_RETRY_SPAN: Duration = Duration::from_millis(100);
/// Time between looks whether this VM takes part.
const JOIN_SPAN: Duration = Duration::from_millis(400);

/// Founds the log if this VM is the first by name among `peers`, as soon as all of them answer
/// and none holds anything. A VM that lost its disk finds that others hold something, and waits
/// until the leader takes it in under its new identity.
pub(super) async fn run_founding(shell: ControlShell, peers: Vec<VoterPeer>) {
    let founder = peers.iter().map(|peer| &peer.vm).min();
    if founder != Some(&shell.id().vm) {
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
            // The task ends only with the shell.
            let _: Result<(), _> = shell.inputs.send(DriverInput::Bootstrap(set)).await;
            return;
        }
        tokio::time::sleep(RETRY_SPAN).await;
    }
}

async fn gather_members(shell: &ControlShell, peers: &[VoterPeer]) -> Option<VoterSet> {
    let asks = peers.iter().map(|peer| ask_member(shell, peer));
    let members: Option<Vec<VoterMember>> = join_all(asks).await.into_iter().collect();
    members.map(|members| VoterSet { members })
}

async fn ask_member(shell: &ControlShell, peer: &VoterPeer) -> Option<VoterMember> {
    if peer.vm == shell.id().vm {
        let reply = HelloReply {
            id: shell.id().clone(),
            initialised: false,
        };
        return make_member(reply, shell.address(), peer);
    }
    make_member(ask_hello(peer.address).await?, peer.address, peer)
}

fn make_member(reply: HelloReply, address: SocketAddr, peer: &VoterPeer) -> Option<VoterMember> {
    let fits = reply.id.vm == peer.vm && !reply.initialised;
    fits.then_some(VoterMember {
        id: reply.id,
        address,
        learner: false,
        replaces: None,
    })
}

/// Founds the log with the VMs at `seeds`, if this VM has the lowest of these addresses, as soon
/// as all of them answer and none holds anything.
pub(super) async fn run_seeded(shell: ControlShell, seeds: Vec<SocketAddr>) {
    if seeds.iter().min() != Some(&shell.address()) {
        return;
    }
    loop {
        match shell.status().await {
            Some(status) if status.commit == 0 => {}
            _ => return,
        }
        if let Some(set) = gather_seeds(&shell, &seeds).await {
            // The task ends only with the shell.
            let _: Result<(), _> = shell.inputs.send(DriverInput::Bootstrap(set)).await;
            return;
        }
        tokio::time::sleep(SEEDED_RETRY_SPAN).await;
    }
}

async fn gather_seeds(shell: &ControlShell, seeds: &[SocketAddr]) -> Option<VoterSet> {
    let asks = seeds.iter().map(|address| async move {
        let id = if *address == shell.address() {
            shell.id().clone()
        } else {
            let reply = ask_hello(*address).await?;
            (!reply.initialised).then_some(reply.id)?
        };
        Some(VoterMember {
            id,
            address: *address,
            learner: false,
            replaces: None,
        })
    });
    let members: Option<Vec<VoterMember>> = join_all(asks).await.into_iter().collect();
    members.map(|members| VoterSet { members })
}

/// Asks to take part whenever this VM is no member, at the seeds and at all members that it
/// knew of.
pub(super) async fn run_joining(shell: ControlShell, seeds: Vec<SocketAddr>) {
    loop {
        tokio::time::sleep(JOIN_SPAN).await;
        let Some(status) = shell.status().await else {
            return;
        };
        if status.role != ControlRole::Outside {
            continue;
        }
        let known = shell.board().members.borrow().clone();
        let mut asked: Vec<SocketAddr> = seeds.iter().chain(&known).copied().collect();
        asked.sort_unstable();
        asked.dedup();
        for address in asked.into_iter().filter(|one| *one != shell.address()) {
            if let Some(leader) = ask_join(&shell, address).await {
                ask_join(&shell, leader).await;
            }
        }
    }
}

/// Asks the VM at `address` to take this one in; returns where the leader is if it is another.
async fn ask_join(shell: &ControlShell, address: SocketAddr) -> Option<SocketAddr> {
    let client = connect_voter(address).await?;
    let join = client.join(call_context(JOIN_SPAN), shell.id().clone(), shell.address());
    join.await.ok().flatten()
}
