//! Names and numbers that identify entities of the system.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name from untrusted input, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Returns whether `text` is a valid name: 1 to 64 of `a-z`, `A-Z`, `0-9`, `.`, `_`, `-`.
pub fn check_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= NAME_MAX_BYTES
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte))
}

macro_rules! string_names {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        #[derive(
            Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
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

string_names! {
    /// Name of a data centre, unique within an environment.
    CentreName;
    /// Operator-assigned identifier of a change, repeated when the change is sent again.
    ChangeId;
    /// Name of a customer, unique within a configuration.
    CustomerName;
    /// Name of an environment, such as `trial` or `production`.
    EnvironmentName;
    /// Name of a region, which is a group of data centres.
    RegionName;
    /// Name of a replica of a shard, unique in the entire system.
    ReplicaName;
    /// Identifier of a caller's request, repeated when the request is sent again.
    RequestId;
    /// Name of a service, to which callers address their requests.
    ServiceName;
    /// Name of a software version of a service's replicas.
    VersionName;
    /// Name of a VM that runs an entry or a control process.
    VmName;
}

macro_rules! number_types {
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

number_types! {
    /// Incarnation of a process or backend server; increases with each start under the same name.
    IncarnationNumber(u64);
    /// Hash of a request's service and body that identifies requests that crash backend servers.
    RequestDigest(u64);
    /// Index of a shard within a partition, starting at 0.
    ShardNumber(u32);
    /// Number of an index snapshot of a service; newer snapshots have higher numbers.
    SnapshotNumber(u64);
    /// Version of configuration and membership, which only control increments.
    VersionNumber(u64);
}

/// Identifies one dispatch of a sub-request, unique across all entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Random number drawn by the root entry at its start.
    pub origin: u64,
    /// Counter at the root entry.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.origin, self.sequence)
    }
}
