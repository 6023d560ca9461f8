//! Admission of clients' connections to all ports of a process, and of what these make it hold.
//!
//! Each port has a maximum number of connections, and all bodies and answers share one memory. When
//! there is no room, the connection that has waited longest for its client gives way; if none waits,
//! the new client waits for a moment and is then refused. Nobody holds a lock across an await, and no two of the locks at a time
//! but that of the ports with that of one port's connections.

pub mod accept;
pub mod body;
pub mod connection;
pub mod reply;
pub mod stream;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::intake::connection_choice::{RoomNeed, find_longest_waiting};
use crate::intake::held_memory::{HeldMemory, MemoryLease};
use crate::intake::process_limits::ProcessLimits;
use crate::metric::intake::{CutLabels, IntakeCounters, PortLabel};
use crate::prelude::*;
use crate::shell::clock::ProcessClock;
use crate::shell::decision::DecisionLog;
use crate::shell::line_budget::LineClass;
use connection::{ClientConnection, ClientGuard, ConnectionTable};

/// Maximum number of connections that give way to one need of memory.
const CUTS_MAX: usize = 32;
/// Time between two checks for clients that do not read their answers.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time that a new connection waits for another one to end.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(1);

/// What all ports of a process share; clones share it too.
#[derive(Clone, Debug)]
pub struct ClientIntake {
    state: Arc<IntakeState>,
}

#[derive(Debug)]
struct IntakeState {
    clock: ProcessClock,
    limits: ProcessLimits,
    memory: Arc<HeldMemory>,
    counters: IntakeCounters,
    log: Option<Arc<DecisionLog>>,
    ports: Mutex<Vec<Arc<ConnectionTable>>>,
}

/// One port of a process, at which its connections are admitted.
#[derive(Clone, Debug)]
pub struct ClientPort {
    intake: ClientIntake,
    table: Arc<ConnectionTable>,
}

impl ClientIntake {
    /// Creates the intake of a process that has no ports yet. Connections that are cut off or refused
    /// are logged if there is a log.
    pub fn open(
        limits: ProcessLimits,
        counters: IntakeCounters,
        log: Option<Arc<DecisionLog>>,
    ) -> Self {
        Self {
            state: Arc::new(IntakeState {
                clock: ProcessClock::open(),
                limits,
                memory: HeldMemory::open(limits.memory),
                counters,
                log,
                ports: Mutex::default(),
            }),
        }
    }

    /// Adds a port.
    pub fn open_port(&self, name: &'static str, connections_max: usize) -> ClientPort {
        let table = Arc::new(ConnectionTable::open(name, connections_max));
        self.state.ports.lock().push(Arc::clone(&table));
        ClientPort {
            intake: self.clone(),
            table,
        }
    }

    /// Returns the limits of the process.
    pub fn limits(&self) -> &ProcessLimits {
        &self.state.limits
    }

    /// Returns the memory for bodies and answers.
    pub fn memory(&self) -> &Arc<HeldMemory> {
        &self.state.memory
    }

    /// Returns the metrics.
    pub fn counters(&self) -> &IntakeCounters {
        &self.state.counters
    }

    /// Sets the gauges to the current values.
    pub fn update_gauges(&self) {
        let to_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let held = to_gauge(self.memory().held_bytes());
        self.counters().held_bytes.set(held);
        for table in self.state.ports.lock().iter() {
            let label = PortLabel { port: table.name };
            let open = self.counters().connections.get_or_create_owned(&label);
            open.set(to_gauge(table.count()));
        }
    }

    fn now(&self) -> MonotonicTime {
        self.state.clock.now()
    }

    /// Extends a lease to `bytes`. While the memory does not suffice, connections that have waited for
    /// their clients give way. Returns `false` if there are none of these.
    pub async fn extend(&self, lease: &mut MemoryLease, bytes: usize) -> bool {
        for _ in 0..CUTS_MAX {
            if lease.extend_to(bytes) {
                return true;
            }
            let ports = self.state.ports.lock().clone();
            if !self.cut_longest(RoomNeed::Memory, &ports) {
                return false;
            }
            // The task of the connection releases what it holds.
            tokio::task::yield_now().await;
        }
        lease.extend_to(bytes)
    }

    /// Extends a lease to `bytes` that are held already. Connections that have waited for their clients
    /// give way until the limits are kept.
    pub async fn charge(&self, lease: &mut MemoryLease, bytes: usize) {
        lease.charge(bytes);
        for _ in 0..CUTS_MAX {
            let ports = self.state.ports.lock().clone();
            if !self.memory().is_exceeded() || !self.cut_longest(RoomNeed::Memory, &ports) {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Cuts off the connection to one of `ports` that has waited longest for its client. Returns whether
    /// there was one.
    fn cut_longest(&self, need: RoomNeed, ports: &[Arc<ConnectionTable>]) -> bool {
        let connections = ports.iter().flat_map(|table| table.list());
        let activities = connections.map(|connection| {
            let activity = connection.activity();
            (connection, activity)
        });
        let found = find_longest_waiting(self.now(), need, activities);
        let reason = match need {
            RoomNeed::Connection => "connections",
            RoomNeed::Memory => "memory",
        };
        found.is_some_and(|connection| self.cut(&connection, reason))
    }

    /// Cuts off a connection, counts it and logs it. Returns `false` if it is ending already.
    fn cut(&self, connection: &ClientConnection, reason: &'static str) -> bool {
        let activity = connection.activity();
        if !connection.cut() {
            return false;
        }
        let port = connection.port_name();
        let labels = CutLabels { port, reason };
        self.counters().cut.get_or_create(&labels).inc();
        self.log_line(|| {
            format!(
                "event=client_cut port={port} reason={reason} held_bytes={} waited_ms={}",
                activity.held_bytes,
                self.now().since(activity.moved_at).as_millis()
            )
        });
        true
    }

    fn log_line(&self, text: impl FnOnce() -> String) {
        if let Some(log) = &self.state.log {
            log.log_line(LineClass::Request, text);
        }
    }
}

impl ClientPort {
    /// Returns what the ports of the process share.
    pub fn intake(&self) -> &ClientIntake {
        &self.intake
    }

    /// Sets the maximum number of connections.
    pub fn set_connections_max(&self, connections_max: usize) {
        self.table.set_connections_max(connections_max);
    }

    /// Admits a connection. If the port has its maximum, the one that has waited longest for its client
    /// gives way; if none waits, the new client waits until a request has been answered. Returns `None`
    /// if that takes too long.
    pub(super) async fn admit(&self) -> Option<ClientGuard> {
        let admitted = tokio::time::timeout(ADMISSION_TIMEOUT, self.wait_for_room()).await;
        if let Ok(guard) = admitted {
            return Some(guard);
        }
        let port = self.table.name;
        let label = PortLabel { port };
        self.intake.counters().refused.get_or_create(&label).inc();
        self.intake
            .log_line(|| format!("event=client_refused port={port}"));
        None
    }

    async fn wait_for_room(&self) -> ClientGuard {
        loop {
            if self.table.may_open()
                && let Some(guard) = self.table.add(&self.intake)
            {
                return guard;
            }
            let ports = [Arc::clone(&self.table)];
            let has_room =
                self.table.may_open() && self.intake.cut_longest(RoomNeed::Connection, &ports);
            if !has_room {
                self.table.released().await;
            }
        }
    }

    /// Waits until no connection is left.
    pub(super) async fn closed(&self) {
        while self.table.count() > 0 {
            self.table.released().await;
        }
    }

    /// Cuts off the connections whose clients have not read anything of an answer for `timeout`, if the
    /// last check is [`CHECK_INTERVAL`] ago.
    pub(super) fn review_unread(&self, timeout: Duration) {
        if !self.table.begin_check(self.intake.now(), CHECK_INTERVAL) {
            return;
        }
        for connection in self.table.list() {
            let is_overdue = connection.record_check() * CHECK_INTERVAL > timeout;
            if is_overdue && connection.activity().waits {
                self.intake.cut(&connection, "unread");
            }
        }
    }
}
