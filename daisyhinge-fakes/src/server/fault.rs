//! Faults of a fake backend server. All of them can be changed while it runs.

use serde::{Deserialize, Serialize};

/// Faults of a fake backend server; the default has none but the crash on a marked request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Stragglers drawn for each sub-request on its own: one in so many; 0: none.
    pub straggle_one_in: u32,
    /// How many times as long a straggler takes.
    pub straggle_times: f64,
    /// How many times as long every sub-request takes: a straggler that sticks to this server.
    pub slow_times: f64,
    /// Cold state, announced or silent.
    pub cold: Option<ColdSettings>,
    /// A sub-request whose payload contains this text crashes the server; empty: none does.
    pub crash_marker: String,
    /// Time from a crash to the restart, in milliseconds.
    pub restart_ms: u64,
    /// Whether health and load endpoints claim a ready, idle server whatever is true.
    pub lying_health: bool,
    /// Damage to answers.
    pub damage: DamageKind,
    /// One answer in so many is damaged; 0: none.
    pub damage_one_in: u32,
    /// How late a late answer is, in milliseconds.
    pub late_ms: u64,
    /// One sub-request in so many is shed; 0: none.
    pub shed_one_in: u32,
    /// One sub-request in so many fails with the server's own error; 0: none.
    pub fail_one_in: u32,
    /// Whether the server accepts bytes but does nothing, announcements included.
    pub frozen: bool,
    /// Whether the server stops its announcements but works on.
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
    /// Names the request, attempt and payload of the sub-request before it.
    Crossed,
    /// Is sent after its expiry.
    Late,
    /// Not at all.
    #[default]
    None,
    /// Half of the body is missing though the stated length is that of the whole.
    Truncated,
    /// Names another shard.
    WrongShard,
    /// The checksum is wrong.
    WrongChecksum,
    /// Names another snapshot.
    WrongSnapshot,
}

/// A cold state.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdSettings {
    /// Whether it is announced as cold; if not, it goes on to claim that it is ready.
    pub announced: bool,
    /// Sub-requests that it bears at a time.
    pub bears: u32,
    /// How many times as long a sub-request takes while cold.
    pub times: f64,
    /// Sub-requests done without overload after which it is warm.
    pub warm_after: u32,
    /// Time that a collapse lasts, in milliseconds; work and connections are lost meanwhile.
    pub collapse_ms: u64,
    /// Time after the first sign of a silent cold state from which overload counts as after the
    /// sign, in milliseconds: what was under way when the sign left does not.
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
