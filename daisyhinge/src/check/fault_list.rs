//! A bounded list of faults.

use crate::prelude::*;
use crate::vocabulary::fault::FieldFault;

/// Faults listed of one text at most; what follows adds nothing to what is to be mended first.
pub const FAULTS_MAX: usize = 200;

/// Collects faults while a text is walked.
#[derive(Clone, Debug, Default)]
pub struct FaultList {
    faults: Vec<FieldFault>,
}

impl FaultList {
    /// Adds a fault, unless the list is full.
    pub fn add(&mut self, path: impl Into<String>, code: ResultCode, detail: impl Into<String>) {
        if self.faults.len() < FAULTS_MAX {
            self.faults.push(FieldFault::new(path, code, detail));
        }
    }

    /// `value` if no fault was found.
    ///
    /// # Errors
    ///
    /// The faults in the order in which they were found.
    pub fn finish<T>(
        self,
        value: impl FnOnce() -> Result<T, FieldFault>,
    ) -> Result<T, Vec<FieldFault>> {
        if self.faults.is_empty() {
            value().map_err(|fault| vec![fault])
        } else {
            Err(self.faults)
        }
    }
}
