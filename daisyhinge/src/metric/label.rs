//! Labels of metric families.

use std::fmt::{self, Write};

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

use crate::prelude::*;

macro_rules! impl_label_value {
    ($($name:ident),*) => {$(
        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
                encoder.write_str(self.as_str())
            }
        }
    )*};
}

impl_label_value!(CentreName, ReplicaName, ServiceName, VersionName);

impl EncodeLabelValue for ResultCode {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        write!(encoder, "{}", self.number())
    }
}

/// Label of metrics per service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: ServiceName,
}

/// Labels of metrics per service and result code.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabel {
    /// Name of the service.
    pub service: ServiceName,
    /// Result code, encoded as its number.
    pub code: ResultCode,
    /// Name of the result code.
    pub name: &'static str,
}

/// Labels of metrics per result code.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CodeLabel {
    /// Result code, encoded as its number.
    pub code: ResultCode,
    /// Name of the result code.
    pub name: &'static str,
}

impl CodeLabel {
    /// Creates the labels of a result code.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            name: code.name(),
        }
    }
}

/// Labels of metrics per replica whose keeper this entry is.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ReplicaLabel {
    /// Name of the replica.
    pub replica: ReplicaName,
    /// Service of the replica.
    pub service: ServiceName,
    /// Data centre of the replica.
    pub data_centre: CentreName,
}
