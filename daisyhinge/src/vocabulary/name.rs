//! Names and numbers that identify things.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest name that is accepted from outside, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Returns whether `text` is a usable name: 1 to 64 of `a-z`, `A-Z`, `0-9`, `.`, `_`, `-`.
pub fn check_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= NAME_MAX_BYTES
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte))
}

macro_rules! shared_name {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

shared_name! {
    /// Name of a data centre.
    CentreName;
    /// Identifier that an operator gives to one change; a resend carries the same.
    ChangeId;
    /// Name of an environment, such as `trial` or `production`.
    EnvironmentName;
    /// Name of a region.
    RegionName;
    /// Name of one replica of one shard, unique over the whole system.
    ReplicaName;
    /// Identifier of a caller's request; a resend carries the same.
    RequestId;
    /// Name of a service.
    ServiceName;
    /// Name of a VM that runs a process of the system.
    VmName;
}

macro_rules! plain_number {
    ($(#[$doc:meta] $name:ident($inner:ty);)*) => {$(
        #[$doc]
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

plain_number! {
    /// Grows each time a process or backend server starts anew under the same name.
    IncarnationNumber(u64);
    /// Hash of a request's service and body, by which a request that crashes servers is known.
    RequestDigest(u64);
    /// Index of a shard within one partition, from 0.
    ShardNumber(u32);
    /// Number of an index snapshot of one service; a newer one is larger.
    SnapshotNumber(u64);
    /// Version of configuration and membership; control only ever raises it.
    VersionNumber(u64);
}

/// Identifies one dispatch of one sub-request, unique over all entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Random number that the root entry drew when it started.
    pub origin: u64,
    /// Counts up at the root entry.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.origin, self.sequence)
    }
}
