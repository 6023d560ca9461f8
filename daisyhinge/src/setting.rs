//! Validation of settings files.

pub mod address;
pub mod control;
pub mod entry;

pub use control::check_control_settings;
pub use entry::check_entry_settings;

/// Maximum size of a settings file in bytes.
pub const SETTINGS_MAX_BYTES: usize = 1 << 16;

/// Maximum number of control VMs in a settings file.
pub const VOTERS_MAX: usize = 43;
