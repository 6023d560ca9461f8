//! Injected faults of a fake backend server. All of them can be changed while the server runs.

use serde::{Deserialize, Serialize};

/// Injected faults of a fake backend server; the default injects only the crash on a marked
/// request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// One sub-request in this many, drawn independently, is a straggler; 0 disables stragglers.
    pub straggle_one_in: u32,
    /// Factor by which a straggler's service time is multiplied.
    pub straggle_times: f64,
    /// Factor by which every service time is multiplied, to simulate a persistently slow server.
    pub slow_times: f64,
    /// Cold state at the start and after each restart, announced or silent.
    pub cold: Option<ColdSettings>,
    /// A sub-request whose payload contains this text crashes the server; empty disables crashes.
    pub crash_marker: String,
    /// Delay between a crash and the restart, in milliseconds.
    pub restart_ms: u64,
    /// Whether the health and load endpoints always report a ready, idle server.
    pub lying_health: bool,
    /// How answers are damaged.
    pub damage: DamageKind,
    /// One answer in this many is damaged; 0 disables damage.
    pub damage_one_in: u32,
    /// Delay of an answer after the expiry of its sub-request if `damage` is [`DamageKind::Late`],
    /// in milliseconds.
    pub late_ms: u64,
    /// One sub-request in this many is shed; 0 disables shedding.
    pub shed_one_in: u32,
    /// One sub-request in this many fails with an error of the server; 0 disables failures.
    pub fail_one_in: u32,
    /// Whether the server accepts bytes but neither responds nor announces.
    pub frozen: bool,
    /// Whether the server stops its announcements but continues to serve.
    pub mute: bool,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            straggle_one_in: 0,
            straggle_times: 20.0,
            slow_times: 1.0,
            cold: None,
            crash_marker: String::from("crash-the-server"),
            restart_ms: 300,
            lying_health: false,
            damage: DamageKind::None,
            damage_one_in: 1,
            late_ms: 500,
            shed_one_in: 0,
            fail_one_in: 0,
            frozen: false,
            mute: false,
        }
    }
}

/// How an answer is damaged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DamageKind {
    /// The answer states the request, attempt and payload of the previous sub-request.
    Crossed,
    /// The answer is sent after the expiry of the sub-request.
    Late,
    /// The answer is intact.
    #[default]
    None,
    /// Half of the body is missing while the stated length is that of the full body.
    Truncated,
    /// The answer states another shard.
    WrongShard,
    /// The answer states a wrong checksum.
    WrongChecksum,
    /// The answer states another snapshot.
    WrongSnapshot,
}

/// Settings of a cold state.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdSettings {
    /// Whether the server announces that it is cold; if not, it continues to announce that it is
    /// ready.
    pub announced: bool,
    /// Capacity while cold: concurrent sub-requests beyond which the server collapses.
    pub bears: u32,
    /// Factor by which service times are multiplied while cold.
    pub times: f64,
    /// Number of sub-requests that the server must answer in a row, without exceeding its capacity,
    /// to become warm.
    pub warm_after: u32,
    /// Downtime of a cold server whose capacity was exceeded, in milliseconds. The server drops its
    /// work and connections and stays down for this time; its incarnation does not change.
    pub collapse_ms: u64,
    /// Delay after the first sign of the cold state that entries can observe, in milliseconds.
    /// Overload is counted in `collapses_after_sign` and `cold_exceeded_after_sign` only after the
    /// delay, so that sub-requests already in flight are excluded.
    pub sign_grace_ms: u64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            announced: true,
            bears: 1,
            times: 3.0,
            warm_after: 50,
            collapse_ms: 500,
            sign_grace_ms: 10,
        }
    }
}
