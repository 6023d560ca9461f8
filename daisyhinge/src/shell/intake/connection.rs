//! The connections to a port, and what each of them does.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::ClientIntake;
use crate::intake::connection_choice::ConnectionActivity;
use crate::intake::held_memory::MemoryLease;
use crate::prelude::*;

/// Time between two checks whether a connection of a full port waits for its client.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a new connection is given for its first request before it counts as waiting.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);
/// Bytes of a body that a connection may hold beside the shared memory, so that an ordinary request
/// does not depend on it. They are part of [`CONNECTION_BYTES`].
///
/// [`CONNECTION_BYTES`]: crate::intake::process_limits::CONNECTION_BYTES
const FREE_BYTES: usize = 8 << 10;

/// Divisor of a port's maximum that gives how many connections may be closing beyond it.
const CLOSING_DIVISOR: usize = 8;

/// The connections to one port.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    pub(super) name: &'static str,
    connections_max: AtomicUsize,
    connections: Mutex<TableContent>,
    released: Notify,
    /// Time of the last check for clients that do not read, in microseconds.
    checked_at: AtomicU64,
}

#[derive(Debug, Default)]
struct TableContent {
    open: HashMap<u64, Arc<ClientConnection>>,
    /// Number of connections that were cut off and are not released yet.
    closing: usize,
    next_number: u64,
}

impl ConnectionTable {
    pub(super) fn open(name: &'static str, connections_max: usize) -> Self {
        Self {
            name,
            connections_max: AtomicUsize::new(connections_max),
            connections: Mutex::default(),
            released: Notify::new(),
            checked_at: AtomicU64::new(0),
        }
    }

    /// Whether a check is due that is made every `interval`. The caller then makes it.
    pub(super) fn begin_check(&self, now: MonotonicTime, interval: Duration) -> bool {
        let checked_at = MonotonicTime(self.checked_at.load(Ordering::Relaxed));
        let is_due = now.since(checked_at) >= interval;
        if is_due {
            self.checked_at.store(now.0, Ordering::Relaxed);
        }
        is_due
    }

    fn connections_max(&self) -> usize {
        self.connections_max.load(Ordering::Relaxed)
    }

    pub(super) fn set_connections_max(&self, connections_max: usize) {
        self.connections_max
            .store(connections_max, Ordering::Relaxed);
    }

    pub(super) fn count(&self) -> usize {
        self.connections.lock().open.len()
    }

    pub(super) fn list(&self) -> Vec<Arc<ClientConnection>> {
        self.connections.lock().open.values().cloned().collect()
    }

    /// Adds a connection, unless the port has its maximum.
    pub(super) fn add(self: &Arc<Self>, intake: &ClientIntake) -> Option<ClientGuard> {
        let mut content = self.connections.lock();
        if content.open.len() >= self.connections_max() {
            return None;
        }
        let number = content.next_number;
        content.next_number += 1;
        let connection = Arc::new(ClientConnection::open(intake, self, number));
        content.open.insert(number, Arc::clone(&connection));
        Some(ClientGuard { connection })
    }

    /// Whether few enough connections are closing for another one to be opened.
    pub(super) fn may_open(&self) -> bool {
        let closing_max = (self.connections_max() / CLOSING_DIVISOR).max(1);
        self.connections.lock().closing < closing_max
    }

    /// Waits until a connection has been released or waits for its client again.
    pub(super) async fn released(&self) {
        drop(tokio::time::timeout(RELEASE_CHECK_INTERVAL, self.released.notified()).await);
    }

    /// Takes a connection that is cut off from the open ones. Returns whether it was one of them.
    fn begin_closing(&self, number: u64) -> bool {
        let mut content = self.connections.lock();
        let was_open = content.open.remove(&number).is_some();
        content.closing += usize::from(was_open);
        was_open
    }

    fn release(&self, number: u64) {
        let mut content = self.connections.lock();
        if content.open.remove(&number).is_none() {
            content.closing -= 1;
        }
        drop(content);
        self.released.notify_one();
    }
}

/// A connection of a client, shared by its task and by those that need room.
#[derive(Debug)]
pub struct ClientConnection {
    intake: ClientIntake,
    table: Arc<ConnectionTable>,
    number: u64,
    /// Requests that run: received completely, and not answered.
    running: AtomicUsize,
    /// Requests whose body arrives.
    receiving: AtomicUsize,
    /// Reading of the process clock, in microseconds.
    moved_at: AtomicU64,
    /// Bytes of bodies and answers, without [`FREE_BYTES`].
    held: AtomicUsize,
    /// Whether a body uses [`FREE_BYTES`].
    free_taken: AtomicBool,
    /// Whether the client does not read.
    blocked: AtomicBool,
    /// Number of checks in a row that found the client not to read.
    blocked_checks: AtomicU32,
    cut: CancellationToken,
}

impl ClientConnection {
    fn open(intake: &ClientIntake, table: &Arc<ConnectionTable>, number: u64) -> Self {
        Self {
            intake: intake.clone(),
            table: Arc::clone(table),
            number,
            running: AtomicUsize::new(0),
            receiving: AtomicUsize::new(0),
            moved_at: AtomicU64::new((intake.now() + FIRST_REQUEST_GRACE).0),
            held: AtomicUsize::new(0),
            free_taken: AtomicBool::new(false),
            blocked: AtomicBool::new(false),
            blocked_checks: AtomicU32::new(0),
            cut: CancellationToken::new(),
        }
    }

    /// Returns what the ports of the process share.
    pub fn intake(&self) -> &ClientIntake {
        &self.intake
    }

    pub(super) fn port_name(&self) -> &'static str {
        self.table.name
    }

    pub(super) fn activity(&self) -> ConnectionActivity {
        let receives = self.receiving.load(Ordering::Relaxed) > 0;
        let runs = self.running.load(Ordering::Relaxed) > 0;
        ConnectionActivity {
            waits: (receives || !runs) && !self.cut.is_cancelled(),
            moved_at: MonotonicTime(self.moved_at.load(Ordering::Relaxed)),
            held_bytes: self.held.load(Ordering::Relaxed),
        }
    }

    /// Records that the client has sent or read something that counts.
    pub(super) fn record_move(&self) {
        let now = self.intake.now();
        self.moved_at.store(now.0, Ordering::Relaxed);
    }

    /// Records whether the client reads what is written.
    pub(super) fn record_write(&self, blocked: bool) {
        let was_blocked = self.blocked.swap(blocked, Ordering::Relaxed);
        if was_blocked && !blocked {
            self.record_move();
            self.blocked_checks.store(0, Ordering::Relaxed);
        }
    }

    /// Counts a check whether the client reads. Returns the number of checks in a row that found that
    /// it does not.
    pub(super) fn record_check(&self) -> u32 {
        if self.blocked.load(Ordering::Relaxed) && !self.cut.is_cancelled() {
            self.blocked_checks.fetch_add(1, Ordering::Relaxed)
        } else {
            0
        }
    }

    /// Whether the port has its maximum of connections. Each answer then closes its connection, so that
    /// others have their turn.
    pub fn is_port_full(&self) -> bool {
        self.table.count() >= self.table.connections_max()
    }

    /// Ends the connection. Returns `false` if it is ending already.
    pub(super) fn cut(&self) -> bool {
        let was_open = self.table.begin_closing(self.number);
        self.cut.cancel();
        was_open
    }

    /// Begins a request whose head has been received.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RequestGuard {
            connection: Arc::clone(self),
        }
    }

    /// Begins to receive the body of a request.
    pub(super) fn begin_body(self: &Arc<Self>) -> BodyGuard {
        self.receiving.fetch_add(1, Ordering::Relaxed);
        self.record_move();
        BodyGuard {
            connection: Arc::clone(self),
        }
    }

    /// Creates a hold of 0 bytes on the memory of the process.
    pub(super) fn hold(self: &Arc<Self>) -> ClientHold {
        ClientHold {
            lease: MemoryLease::open(self.intake.memory(), 0),
            bytes: 0,
            takes_free: !self.free_taken.swap(true, Ordering::Relaxed),
            connection: Arc::clone(self),
        }
    }
}

/// Entry of a connection in the table of its port; removed when dropped.
#[derive(Debug)]
pub struct ClientGuard {
    connection: Arc<ClientConnection>,
}

impl ClientGuard {
    /// Returns the connection.
    pub fn connection(&self) -> &Arc<ClientConnection> {
        &self.connection
    }

    /// Drives a connection until it ends or is cut off.
    pub async fn run(self, served: impl Future) {
        tokio::select! {
            // An error on a connection affects only its client.
            _ended = served => {}
            () = self.connection.cut.cancelled() => {}
        }
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.connection.table.release(self.connection.number);
    }
}

/// A request that runs on a connection.
#[derive(Debug)]
pub struct RequestGuard {
    connection: Arc<ClientConnection>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.running.fetch_sub(1, Ordering::Relaxed);
        self.connection.record_move();
    }
}

/// A body that arrives on a connection.
#[derive(Debug)]
pub(super) struct BodyGuard {
    connection: Arc<ClientConnection>,
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        self.connection.receiving.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory that a body or an answer of a connection holds; released when dropped.
#[derive(Debug)]
pub(super) struct ClientHold {
    lease: MemoryLease,
    /// Bytes that are released when the connection is cut off.
    bytes: usize,
    takes_free: bool,
    connection: Arc<ClientConnection>,
}

impl ClientHold {
    /// Extends the hold to `bytes`. Returns `false` if the memory does not suffice.
    pub(super) async fn extend_to(&mut self, bytes: usize) -> bool {
        let free = if self.takes_free { FREE_BYTES } else { 0 };
        let shared = bytes.saturating_sub(free);
        let intake = self.connection.intake.clone();
        let fits = intake.extend(&mut self.lease, shared).await;
        if fits {
            self.record_held(shared);
        }
        fits
    }

    /// Extends the hold to `bytes` that exist already, beyond the limits if need be.
    pub(super) async fn charge(&mut self, bytes: usize) {
        self.record_held(bytes);
        let intake = self.connection.intake.clone();
        intake.charge(&mut self.lease, bytes).await;
    }

    /// Records `bytes` that another lease holds and that are released with the connection.
    pub(super) fn record_held(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        self.connection.held.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
    }
}

impl Drop for ClientHold {
    fn drop(&mut self) {
        self.connection
            .held
            .fetch_sub(self.bytes, Ordering::Relaxed);
        if self.takes_free {
            self.connection.free_taken.store(false, Ordering::Relaxed);
        }
    }
}
