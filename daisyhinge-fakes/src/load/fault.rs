//! Faults that a scenario injects.

use daisyhinge::prelude::*;
use serde::{Deserialize, Serialize};

use crate::server::{ColdSettings, DamageKind};

/// Selection of fake backend servers. Unset fields match all servers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerChoice {
    /// Service whose servers are selected.
    pub service: Option<ServiceName>,
    /// Shard whose servers are selected.
    pub shard: Option<u32>,
    /// Index of the replica within its shard.
    pub replica: Option<u32>,
    /// Data centre whose servers are selected.
    pub data_centre: Option<CentreName>,
}

/// A fault with its start time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// Start time, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// Affected servers, for faults of backend servers.
    #[serde(default)]
    pub servers: ServerChoice,
    /// Injected fault.
    pub fault: FaultKind,
}

/// Kind of an injected fault, or the repair of an earlier one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// Servers turn cold.
    Cold(ColdSettings),
    /// Servers crash and restart with a new incarnation.
    Crash {
        /// Delay until the restart, in milliseconds.
        restart_ms: u64,
    },
    /// Answers are damaged.
    Damage {
        /// Kind of damage.
        kind: DamageKind,
        /// One sub-request in this many is affected.
        one_in: u32,
    },
    /// Servers announce that they drain, and count sub-requests that still arrive as `after_mark`.
    Drain,
    /// An entry stops immediately, without notifying other processes.
    KillEntry {
        /// VM of the entry.
        vm: VmName,
    },
    /// Servers announce their departure, and count sub-requests that still arrive as `after_mark`.
    Leave,
    /// Health and load endpoints always report a ready, idle server.
    Lie,
    /// Servers stop their announcements but continue to serve.
    Mute,
    /// Requests that crash each server that runs them are sent repeatedly.
    Poison {
        /// Service that the requests are sent to.
        service: ServiceName,
        /// Number of distinct requests.
        count: u32,
        /// Number of times that each request is sent, through the entries in turn.
        sends: u32,
    },
    /// Operators return a data centre to service.
    ReturnCentre {
        /// Name of the data centre, as in the scenario.
        data_centre: CentreName,
    },
    /// Servers roll to a newer snapshot and drop older ones after an overlap.
    Roll {
        /// Number of the newer snapshot.
        snapshot: u64,
        /// Time during which servers keep both snapshots, in milliseconds.
        overlap_ms: u64,
    },
    /// Servers shed one sub-request in this many; 0 disables shedding.
    Shed {
        /// One sub-request in this many is affected.
        one_in: u32,
    },
    /// Servers run slower; a factor of 1 restores normal speed.
    Slow {
        /// Factor by which service times are multiplied.
        times: f64,
    },
    /// An entry shuts down gracefully.
    StopEntry {
        /// VM of the entry.
        vm: VmName,
    },
    /// Servers stop permanently.
    StopServer,
    /// Sub-requests, drawn independently, become stragglers; 0 disables stragglers.
    Straggle {
        /// One sub-request in this many is affected.
        one_in: u32,
        /// Factor by which a straggler's service time is multiplied.
        times: f64,
    },
    /// Operators take a data centre out of service. Once the change is accepted, its servers count
    /// sub-requests that still arrive as `after_mark`.
    TakeOut {
        /// Name of the data centre, as in the scenario.
        data_centre: CentreName,
    },
    /// The request rate of a service changes.
    Rate {
        /// Name of the service, as in the scenario.
        service: ServiceName,
        /// New rate, in requests per second.
        per_second: f64,
    },
}
