//! Server for calls from other entries.

use std::sync::Arc;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;

use crate::shell::entry::keeper::announcements::{handle_announcement, handle_departure};
use crate::shell::entry::keeper::sub_requests::run_sub;
use crate::shell::entry::keeper::table_delta;
use crate::shell::entry::peer_pool::CALLS_MAX;
use crate::shell::entry::state::EntryState;
use crate::shell::link::PeerLink;
use crate::shell::transport::wrap_stream;
use crate::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaDeparture};
use crate::vocabulary::replica::{TableDelta, TableRequest};
use crate::vocabulary::subrequest::{SubReply, SubRequest};

/// Serves other entries until the process stops.
pub async fn serve_peers(state: Arc<EntryState>, listener: TcpListener) {
    // Aborts the connections when this task ends.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let server = PeerServer { state: Arc::clone(&state) };
                    let channel = BaseChannel::with_defaults(wrap_stream(stream));
                    let calls = channel.execute(server.serve());
                    connections.spawn(calls.for_each_concurrent(CALLS_MAX, |call| call));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

#[derive(Clone, Debug)]
struct PeerServer {
    state: Arc<EntryState>,
}

impl PeerLink for PeerServer {
    async fn run(self, _: Context, request: SubRequest) -> SubReply {
        run_sub(&self.state, request).await
    }

    async fn announce(self, _: Context, announcement: ReplicaAnnouncement) -> AnnounceReply {
        handle_announcement(&self.state, announcement, false).await
    }

    async fn leave(self, _: Context, leave: ReplicaDeparture) -> AnnounceReply {
        handle_departure(&self.state, leave, false).await
    }

    async fn table(self, _: Context, request: TableRequest) -> TableDelta {
        table_delta(&self.state, request)
    }
}
