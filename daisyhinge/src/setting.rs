//! The whole check of settings files.

pub mod address;
pub mod control;
pub mod entry;

pub use control::check_control_settings;
pub use entry::check_entry_settings;

/// Largest settings file, in bytes.
pub const SETTINGS_MAX_BYTES: usize = 1 << 16;

/// Control VMs that may be named at most.
pub const VOTERS_MAX: usize = 43;
