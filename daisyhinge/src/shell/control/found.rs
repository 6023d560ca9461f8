//! Founding the log: once, when every first member holds nothing.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;

use super::ControlShell;
use super::driver::DriverInput;
use super::link::HelloReply;
use super::peer::ask_hello;
use crate::control::member::{VoterMember, VoterSet};
use crate::vocabulary::setting::VoterPeer;

/// Pause between attempts.
const RETRY_SPAN: Duration = Duration::from_millis(200);

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
            let _: Result<(), _> = shell.inputs.send(DriverInput::Found(set)).await;
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
