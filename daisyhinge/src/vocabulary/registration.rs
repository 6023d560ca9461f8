//! What replicas and entries say of themselves to control, as soft state.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What a replica is ready for.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum ReplicaPhase {
    /// Takes requests.
    #[default]
    Ready,
    /// Was not heard of for some time; may be gone.
    Silent,
    /// Leaves soon and is to get no new requests.
    Draining,
    /// Said that it leaves at once.
    Left,
}

/// One incarnation of a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaRecord {
    /// Identity of the incarnation, mostly a new one at each start.
    pub name: ReplicaName,
    /// Its service.
    pub service: ServiceName,
    /// Where it is connected to.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// What it is ready for.
    pub phase: ReplicaPhase,
    /// When it started, in milliseconds since 1970; unset where only its departure is known.
    pub born_ms: Option<u64>,
    /// Grows with each of its heartbeats.
    pub sequence: u64,
    /// How long it stays cold, in milliseconds from when this record was made or sent on.
    pub cold_left_ms: u64,
    /// The control process that heard of it last.
    pub holder: u64,
}

/// Whether an entry takes requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EntryPhase {
    /// Takes requests.
    Serving,
    /// Knows no configuration yet.
    Starting,
    /// Shuts down.
    Leaving,
    /// Was not heard of for some time.
    Lost,
}

/// An entry process as control knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryPresence {
    /// Its VM.
    pub vm: VmName,
    /// Drawn when the process started.
    pub incarnation: u64,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Whether it takes requests.
    pub phase: EntryPhase,
    /// Logical clock of this record: the larger one is newer.
    pub stamp: u64,
    /// The control process that it reports to.
    pub holder: u64,
}

/// Where a control process is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlPlace {
    /// Where followers reach it.
    pub address: SocketAddr,
    /// Its data centre, if it has told.
    pub data_centre: Option<CentreName>,
}

/// Who asks for the state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SyncCaller {
    /// An entry, which is listed as present by asking.
    Entry {
        /// Its VM.
        vm: VmName,
        /// Drawn when the process started.
        incarnation: u64,
        /// Where callers connect.
        address: SocketAddr,
        /// Its data centre.
        data_centre: CentreName,
        /// Whether it takes requests.
        phase: EntryPhase,
    },
    /// Another control process.
    Control,
    /// An entry that follows another process and wants to know whether this one serves; it is told
    /// nothing else.
    Probe,
}

/// Asks for what changed; answered as soon as there is something.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncAsk {
    /// Who asks.
    pub caller: SyncCaller,
    /// The process whose marks these are; other marks count as 0.
    pub epoch: u64,
    /// Newest change of the registry that the caller holds.
    pub mark: u64,
    /// Newest revision of the site's state that the caller holds.
    pub revision: u64,
    /// Longest wait for something new, in milliseconds.
    pub wait_ms: u64,
}

/// What changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncReply {
    /// Drawn when the answering process started.
    pub epoch: u64,
    /// Newest change of the registry in this reply.
    pub mark: u64,
    /// Replicas that changed after the caller's mark.
    pub replicas: Vec<ReplicaRecord>,
    /// Entries that changed after the caller's mark.
    pub entries: Vec<EntryPresence>,
    /// The site's state, if it is newer than the caller's and an entry asks.
    pub site: Option<Arc<crate::vocabulary::site::SiteState>>,
    /// How long ago a quorum of control is known to have confirmed this state, in milliseconds.
    pub quorum_age_ms: Option<u64>,
    /// Data centre of the answering process.
    pub data_centre: CentreName,
    /// Where control processes are reached.
    pub control: Vec<ControlPlace>,
}
