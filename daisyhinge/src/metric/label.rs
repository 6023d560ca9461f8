//! Labels of metric families.

use std::fmt::{self, Write};

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

use crate::prelude::*;

macro_rules! name_as_label {
    ($($name:ident),*) => {$(
        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
                encoder.write_str(self.as_str())
            }
        }
    )*};
}

name_as_label!(CentreName, ReplicaName, ServiceName);

impl EncodeLabelValue for ResultCode {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        write!(encoder, "{}", self.number())
    }
}

/// Label of what is counted per service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabel {
    /// The service.
    pub service: ServiceName,
}

/// Labels of what is counted per service and result code.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabel {
    /// The service.
    pub service: ServiceName,
    /// The result code's number.
    pub code: ResultCode,
    /// The result code's name.
    pub name: &'static str,
}

/// Label of what is counted per result code.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CodeLabel {
    /// The result code's number.
    pub code: ResultCode,
    /// The result code's name.
    pub name: &'static str,
}

impl CodeLabel {
    /// Labels of `code`.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            name: code.name(),
        }
    }
}

/// Labels of what is shown per kept replica.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ReplicaLabel {
    /// The replica.
    pub replica: ReplicaName,
    /// Its service.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: CentreName,
}
