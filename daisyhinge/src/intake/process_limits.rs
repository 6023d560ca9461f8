//! Limits on what clients may hold, derived from the memory and the descriptors of the process.

use super::held_memory::MemoryLimits;

/// Memory that one connection may need besides bodies and answers, in bytes: the head of a request,
/// a buffer for reading, bytes that have arrived and are not read yet, and the connection's state.
pub const CONNECTION_BYTES: usize = 64 << 10;
/// Size of the receive buffer of a connection, in bytes. Linux reserves twice as much.
pub const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Size of the head of a request for which [`CONNECTION_BYTES`] has room, in bytes.
const HEAD_BYTES: usize = 16 << 10;
/// Factor by which the buffer of a head may exceed the head, since it grows by doubling.
const HEAD_BUFFER_FACTOR: usize = 2;
/// Descriptors for files, which no socket may use.
const FILE_DESCRIPTORS: usize = 200;
/// Divisor of the sockets that gives the part for clients. The others are for links to other
/// processes and for connections to replicas.
const SOCKETS_DIVISOR: usize = 2;
/// Divisor of the memory that gives the part for connections.
const CONNECTIONS_DIVISOR: usize = 2;
/// Divisor of the memory that gives the part that bodies and large answers share.
const SHARED_DIVISOR: usize = 5;
/// Divisor of the memory that gives the part for small answers and the beginnings of large ones.
const OWN_DIVISOR: usize = 10;
/// Memory for each worker thread, in bytes. The allocator keeps what a thread has freed for some time,
/// for that thread alone.
const THREAD_BYTES: usize = 32 << 20;
/// Minimum number of connections, whatever the settings.
const CONNECTIONS_MIN: usize = 16;
/// Divisor of the connections that gives the maximum for a port that only monitoring needs.
const MONITORING_DIVISOR: usize = 8;
/// Maximum number of connections to a port that only monitoring needs.
const MONITORING_MAX: usize = 64;

/// Limits on what the clients of a process may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessLimits {
    /// Maximum number of connections to all ports.
    pub connections_max: usize,
    /// Memory for bodies and answers.
    pub memory: MemoryLimits,
}

/// Derives the limits from the memory of the process in bytes and its number of descriptors. A fifth
/// of the memory remains for everything that does not depend on clients.
pub fn derive_limits(memory_bytes: usize, descriptors: usize) -> ProcessLimits {
    let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
    let by_memory = memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
    ProcessLimits {
        connections_max: by_memory
            .min(sockets / SOCKETS_DIVISOR)
            .max(CONNECTIONS_MIN),
        memory: MemoryLimits {
            shared_max: memory_bytes / SHARED_DIVISOR,
            own_max: memory_bytes / OWN_DIVISOR,
        },
    }
}

/// Derives the number of worker threads from the memory of the process in bytes: at most one for each
/// of `cores`.
pub fn derive_threads(memory_bytes: usize, cores: usize) -> usize {
    (memory_bytes / THREAD_BYTES).min(cores).max(1)
}

impl ProcessLimits {
    /// Returns how many of `connections` have room if a head may have `head_max_bytes`.
    pub fn connections_with_heads(&self, connections: usize, head_max_bytes: usize) -> usize {
        let excess = head_max_bytes.saturating_sub(HEAD_BYTES);
        let bytes = CONNECTION_BYTES.saturating_add(excess.saturating_mul(HEAD_BUFFER_FACTOR));
        (connections * CONNECTION_BYTES / bytes).max(1)
    }

    /// Returns the maximum number of connections to a port that only monitoring needs.
    pub fn monitoring_connections(&self) -> usize {
        MONITORING_MAX.min(self.connections_max / MONITORING_DIVISOR)
    }

    /// Returns the maximum number of connections to each of `ports` ports for clients, beside
    /// `monitoring` ports for monitoring.
    pub fn client_connections(&self, ports: usize, monitoring: usize) -> usize {
        let left = self
            .connections_max
            .saturating_sub(monitoring * self.monitoring_connections());
        left / ports.max(1)
    }
}
