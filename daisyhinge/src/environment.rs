//! Validation and comparison of environment documents.

pub mod change;
pub mod check;
pub mod diff;

pub use change::{CHANGE_MAX_BYTES, check_change};
pub use check::{DOCUMENT_MAX_BYTES, check_document};
pub use diff::{DocumentDifference, diff_documents};
