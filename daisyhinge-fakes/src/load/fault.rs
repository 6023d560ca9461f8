//! Faults that a scenario schedules.

use daisyhinge::prelude::*;
use serde::{Deserialize, Serialize};

use crate::server::{ColdSettings, DamageKind};

/// Which fake backend servers a fault is for. Unset fields take all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerChoice {
    /// Service.
    pub service: Option<ServiceName>,
    /// Shard.
    pub shard: Option<u32>,
    /// Index of the replica within its shard.
    pub replica: Option<u32>,
    /// Data centre.
    pub data_centre: Option<CentreName>,
}

/// A fault and when it begins.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// When, in milliseconds from the first arrival.
    pub at_ms: u64,
    /// Which servers, where the fault is one of servers.
    #[serde(default)]
    pub servers: ServerChoice,
    /// What.
    pub fault: FaultKind,
}

/// What goes wrong, or is mended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// Servers turn cold.
    Cold(ColdSettings),
    /// Servers crash and restart with a new incarnation.
    Crash {
        /// Time to the restart, in milliseconds.
        restart_ms: u64,
    },
    /// Answers are damaged.
    Damage {
        /// How.
        kind: DamageKind,
        /// One in so many.
        one_in: u32,
    },
    /// Servers announce that they drain; sub-requests from then on are counted as after the mark.
    Drain,
    /// An entry ends without a word.
    KillEntry {
        /// Its VM.
        vm: VmName,
    },
    /// Servers say that they leave; sub-requests from then on are counted as after the mark.
    Leave,
    /// Health and load endpoints lie.
    Lie,
    /// Servers go on to work but stop their announcements.
    Mute,
    /// A request that crashes each server that runs it arrives and is sent again.
    Poison {
        /// Service asked.
        service: ServiceName,
        /// Different requests of that kind.
        count: u32,
        /// How often each is sent, through one entry after the other.
        sends: u32,
    },
    /// A data centre is returned by the operators.
    ReturnCentre {
        /// The data centre.
        data_centre: CentreName,
    },
    /// Servers hold a newer snapshot as well, and only that one after the overlap.
    Roll {
        /// Number of the newer snapshot.
        snapshot: u64,
        /// Time during which both are held, in milliseconds.
        overlap_ms: u64,
    },
    /// Servers shed one sub-request in so many; 0: none.
    Shed {
        /// One in so many.
        one_in: u32,
    },
    /// Servers take so many times as long for every sub-request; 1 mends it.
    Slow {
        /// How many times as long.
        times: f64,
    },
    /// An entry is asked to shut down gracefully.
    StopEntry {
        /// Its VM.
        vm: VmName,
    },
    /// Servers end for good.
    StopServer,
    /// Stragglers are drawn for each sub-request on its own; 0 mends it.
    Straggle {
        /// One in so many.
        one_in: u32,
        /// How many times as long a straggler takes.
        times: f64,
    },
    /// A data centre is taken out by the operators; its servers set the mark at acceptance.
    TakeOut {
        /// The data centre.
        data_centre: CentreName,
    },
    /// The rate of a service changes.
    Rate {
        /// The service.
        service: ServiceName,
        /// Requests per second from then on.
        per_second: f64,
    },
}
