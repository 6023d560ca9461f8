//! What clients may make a process hold, without I/O: the limits, the memory that all clients share,
//! and which connection is cut off when there is no room for another client.

pub mod connection_choice;
pub mod held_memory;
pub mod process_limits;
