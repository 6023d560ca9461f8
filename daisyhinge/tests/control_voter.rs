//! Voters without disks or sockets: partitions, lost disks, delayed replies and membership changes.

#[path = "control_voter/contact.rs"]
mod contact;
#[path = "control_voter/fixture.rs"]
mod fixture;
#[path = "control_voter/membership.rs"]
mod membership;
#[path = "control_voter/partitions.rs"]
mod partitions;
#[path = "control_voter/silent.rs"]
mod silent;
#[path = "control_voter/sync.rs"]
mod sync;
