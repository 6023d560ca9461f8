//! Types used by nearly every module.

pub use crate::vocabulary::clock::MonotonicTime;
pub use crate::vocabulary::code::ResultCode;
pub use crate::vocabulary::name::{
    AttemptId, CentreName, ChangeId, CustomerName, EnvironmentName, IncarnationNumber, RegionName,
    ReplicaName, RequestDigest, RequestId, ServiceName, ShardNumber, SnapshotNumber, VersionName,
    VersionNumber, VmName,
};
pub use crate::vocabulary::run::RunState;
