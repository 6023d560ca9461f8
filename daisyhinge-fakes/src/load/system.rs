//! Interface between the load generator and the system under test.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::environment::CentreState;
use daisyhinge::vocabulary::event::EventDraft;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::Instant;

/// An entry that callers can connect to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryPoint {
    /// VM that the entry runs on.
    pub vm: VmName,
    /// Data centre of the entry.
    pub data_centre: CentreName,
    /// Address that callers and backend servers connect to.
    pub address: SocketAddr,
}

/// An event emitted by the system.
#[derive(Clone, Debug)]
pub struct SystemEvent {
    /// Time at which the event was recorded.
    pub at: Instant,
    /// VM that emitted the event.
    pub vm: VmName,
    /// The event, without the timestamp and VM that an event log adds.
    pub event: EventDraft,
}

/// Events of the system, in the order in which they were recorded.
pub type SystemEvents = Arc<Mutex<Vec<SystemEvent>>>;

/// Takes a data centre out of service or returns it; completes once the change is accepted.
pub type CentreHook = Box<
    dyn Fn(CentreName, CentreState) -> BoxFuture<'static, Result<(), ResultCode>> + Send + Sync,
>;

/// Stops an entry: immediately if the flag is set, otherwise gracefully.
pub type EntryHook =
    Box<dyn Fn(VmName, bool) -> BoxFuture<'static, Result<(), ResultCode>> + Send + Sync>;

/// Handle of the running system that a scenario is run against. The code that starts the system
/// supplies hooks that inject faults into the system itself; a fault whose hook is unset is
/// recorded as failed.
#[derive(Default)]
pub struct SystemHandle {
    /// Entries, in the order of the scenario's data centres.
    pub entries: Vec<EntryPoint>,
    /// Hook that takes data centres out of service and returns them.
    pub change_centre: Option<CentreHook>,
    /// Hook that stops entries.
    pub end_entry: Option<EntryHook>,
    /// Events, recorded by the code that started the system.
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
    /// Creates the handle of a system of which only the entries are known.
    pub fn from_entries(entries: Vec<EntryPoint>) -> Self {
        Self {
            entries,
            ..Self::default()
        }
    }
}
