//! Messages and state of builds that encode by field order and state no feature level.
//!
//! These copies are frozen: their bytes must not change, and the test `versions` compares them with
//! bytes that such a build wrote. A field that a current type gains is named in its `adds` list with
//! the value that it has if such a build sent the record. Field types that are not copied here
//! (names, phases, [`CrashRecord`], [`SiteDocument`]) must not change either.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::registration::{
    ControlLocation, CrashReport, EntryPhase, EntryPresence, ReplicaPhase, ReplicaRecord,
    SyncCaller, SyncReply, SyncRequest,
};
use crate::vocabulary::replica::CrashRecord;
use crate::vocabulary::site::{SiteDocument, SiteState};

macro_rules! frozen_records {
    ($(
        $(#[$doc:meta])*
        $name:ident of $current:ident
        { $($field:ident: $type:ty,)* }
        adds { $($added:ident: $value:expr,)* }
    )*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
        pub struct $name {
            $($field: $type,)*
        }

        impl From<$current> for $name {
            fn from(current: $current) -> Self {
                Self {
                    $($field: current.$field,)*
                }
            }
        }

        impl From<$name> for $current {
            fn from(frozen: $name) -> Self {
                Self {
                    $($field: frozen.$field,)*
                    $($added: $value,)*
                }
            }
        }
    )*};
}

frozen_records! {
    /// Version 1 of [`SiteState`].
    SiteStateV1 of SiteState
    {
        revision: u64,
        document: Option<SiteDocument>,
        evacuated: BTreeSet<CentreName>,
    }
    adds {
        rollouts: BTreeMap::new(),
        feature_level: FeatureLevel::BASE,
    }

    /// Version 1 of [`ReplicaRecord`].
    ReplicaRecordV1 of ReplicaRecord
    {
        name: ReplicaName,
        service: ServiceName,
        address: SocketAddr,
        data_centre: CentreName,
        slots: u32,
        phase: ReplicaPhase,
        born_ms: Option<u64>,
        sequence: u64,
        cold_left_ms: u64,
        holder: u64,
    }
    adds {
        version: VersionName::default(),
    }

    /// Version 1 of [`EntryPresence`].
    EntryPresenceV1 of EntryPresence
    {
        vm: VmName,
        incarnation: u64,
        address: SocketAddr,
        data_centre: CentreName,
        phase: EntryPhase,
        stamp: u64,
        holder: u64,
    }
    adds {
        feature_level: FeatureLevel::BASE,
    }

    /// Version 1 of [`CrashReport`].
    CrashReportV1 of CrashReport
    {
        vm: VmName,
        incarnation: u64,
        revision: u64,
        records: Vec<CrashRecord>,
    }
    adds {}

    /// Version 1 of [`ControlLocation`].
    ControlLocationV1 of ControlLocation
    {
        address: SocketAddr,
        data_centre: Option<CentreName>,
    }
    adds {}
}

/// Version 1 of [`SyncCaller`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SyncCallerV1 {
    /// See [`SyncCaller::Entry`].
    Entry {
        /// VM that runs the entry.
        vm: VmName,
        /// Random number drawn when the process started.
        incarnation: u64,
        /// Address that callers connect to.
        address: SocketAddr,
        /// Data centre that the entry runs in.
        data_centre: CentreName,
        /// Current phase of the entry.
        phase: EntryPhase,
    },
    /// See [`SyncCaller::Control`].
    Control,
    /// See [`SyncCaller::Probe`].
    Probe,
}

/// Version 1 of [`SyncRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequestV1 {
    caller: SyncCallerV1,
    epoch: u64,
    mark: u64,
    revision: u64,
    crashes: Option<CrashReportV1>,
    wait_ms: u64,
}

/// Version 1 of [`SyncReply`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncReplyV1 {
    epoch: u64,
    mark: u64,
    replicas: Vec<ReplicaRecordV1>,
    entries: Vec<EntryPresenceV1>,
    crashes: Vec<CrashReportV1>,
    complete: bool,
    site: Option<SiteStateV1>,
    quorum_age_ms: Option<u64>,
    data_centre: CentreName,
    control: Vec<ControlLocationV1>,
}

impl From<SyncCaller> for SyncCallerV1 {
    fn from(current: SyncCaller) -> Self {
        match current {
            SyncCaller::Entry {
                vm,
                incarnation,
                address,
                data_centre,
                phase,
                ..
            } => Self::Entry {
                vm,
                incarnation,
                address,
                data_centre,
                phase,
            },
            SyncCaller::Control => Self::Control,
            SyncCaller::Probe => Self::Probe,
        }
    }
}

impl From<SyncCallerV1> for SyncCaller {
    fn from(frozen: SyncCallerV1) -> Self {
        match frozen {
            SyncCallerV1::Entry {
                vm,
                incarnation,
                address,
                data_centre,
                phase,
            } => Self::Entry {
                vm,
                incarnation,
                address,
                data_centre,
                phase,
                feature_level: FeatureLevel::BASE,
            },
            SyncCallerV1::Control => Self::Control,
            SyncCallerV1::Probe => Self::Probe,
        }
    }
}

impl From<SyncRequest> for SyncRequestV1 {
    fn from(current: SyncRequest) -> Self {
        Self {
            caller: current.caller.into(),
            epoch: current.epoch,
            mark: current.mark,
            revision: current.revision,
            crashes: current.crashes.map(Into::into),
            wait_ms: current.wait_ms,
        }
    }
}

impl From<SyncRequestV1> for SyncRequest {
    fn from(frozen: SyncRequestV1) -> Self {
        Self {
            caller: frozen.caller.into(),
            epoch: frozen.epoch,
            mark: frozen.mark,
            revision: frozen.revision,
            crashes: frozen.crashes.map(Into::into),
            rollouts: None,
            report_mark: 0,
            wait_ms: frozen.wait_ms,
            usage: crate::vocabulary::quota::UsageRequest::default(),
        }
    }
}

impl From<SyncReply> for SyncReplyV1 {
    fn from(current: SyncReply) -> Self {
        Self {
            epoch: current.epoch,
            mark: current.mark,
            replicas: convert_all(current.replicas),
            entries: convert_all(current.entries),
            crashes: convert_all(current.crashes),
            complete: current.complete,
            site: current.site.map(|site| Arc::unwrap_or_clone(site).into()),
            quorum_age_ms: current.quorum_age_ms,
            data_centre: current.data_centre,
            control: convert_all(current.control),
        }
    }
}

impl From<SyncReplyV1> for SyncReply {
    fn from(frozen: SyncReplyV1) -> Self {
        Self {
            epoch: frozen.epoch,
            mark: frozen.mark,
            replicas: convert_all(frozen.replicas),
            entries: convert_all(frozen.entries),
            crashes: convert_all(frozen.crashes),
            rollouts: Vec::new(),
            report_mark: 0,
            complete: frozen.complete,
            site: frozen.site.map(|site| Arc::new(site.into())),
            quorum_age_ms: frozen.quorum_age_ms,
            data_centre: frozen.data_centre,
            control: convert_all(frozen.control),
            feature_level: FeatureLevel::BASE,
            usage: crate::vocabulary::quota::UsageReply::default(),
            restored: None,
        }
    }
}

fn convert_all<A: Into<B>, B>(records: Vec<A>) -> Vec<B> {
    records.into_iter().map(Into::into).collect()
}
