//! The system under load, as the load tool sees it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::environment::CentreState;
use daisyhinge::vocabulary::event::EventDraft;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::Instant;

/// An entry that callers can reach.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryPoint {
    /// Its VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Where callers and backend servers connect.
    pub address: SocketAddr,
}

/// An event of the system.
#[derive(Clone, Debug)]
pub struct SystemEvent {
    /// When.
    pub at: Instant,
    /// VM that it happened on.
    pub vm: VmName,
    /// What.
    pub event: EventDraft,
}

/// Events of the system, in order.
pub type SystemEvents = Arc<Mutex<Vec<SystemEvent>>>;

/// Takes a data centre out or returns it; done once the change is accepted.
pub type CentreHook = Box<
    dyn Fn(CentreName, CentreState) -> BoxFuture<'static, Result<(), ResultCode>> + Send + Sync,
>;

/// Ends an entry: at once if the flag is set, gracefully if not.
pub type EntryHook =
    Box<dyn Fn(VmName, bool) -> BoxFuture<'static, Result<(), ResultCode>> + Send + Sync>;

/// The running system that a scenario is tried on. Whoever started it says how faults of the
/// system itself are brought about; a scenario that needs a hook which is unset notes it.
#[derive(Default)]
pub struct SystemHandle {
    /// Entries, those of the first data centre first.
    pub entries: Vec<EntryPoint>,
    /// Takes data centres out and returns them.
    pub change_centre: Option<CentreHook>,
    /// Ends entries.
    pub end_entry: Option<EntryHook>,
    /// Events, noted by whoever started the system.
    pub events: SystemEvents,
}

impl fmt::Debug for SystemHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SystemHandle")
            .field("entries", &self.entries)
            .field("change_centre", &self.change_centre.is_some())
            .field("end_entry", &self.end_entry.is_some())
            .finish_non_exhaustive()
    }
}

impl SystemHandle {
    /// A system of which only the addresses are known.
    pub fn from_entries(entries: Vec<EntryPoint>) -> Self {
        Self {
            entries,
            ..Self::default()
        }
    }
}
