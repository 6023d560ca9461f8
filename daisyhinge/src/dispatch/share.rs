//! An entry's share of the connections that a replica accepts.
//!
//! Half of them go to the entries of the replica's region, which send it most of its requests,
//! but no more than they need if the others lack some. Where there are more entries than
//! connections, a hash picks those that may keep one open.

use std::hash::{BuildHasher, Hasher};

use foldhash::fast::FixedState;

/// Share of the connections for entries of the replica's region, in percent.
const NEAR_PERCENT: u32 = 50;
/// Share of the connections for all other entries, in percent.
const FAR_PERCENT: u32 = 44;
/// Seed of the hash; part of the protocol, since all entries must pick the same ones.
const SHARE_SEED: u64 = 0x7368_6172_6573_0001;

/// The entries that serve, as the share depends on them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryCount {
    /// In the replica's region.
    pub near: u32,
    /// Elsewhere.
    pub far: u32,
}

/// Connections to a replica that an entry may hold. `rank` counts the entries on its side that
/// the hash puts before it.
pub fn find_share(connections_max: u32, count: EntryCount, is_near: bool, rank: u32) -> u32 {
    let alone = count.near == 0 || count.far == 0;
    let among = match (is_near, alone) {
        (true, false) => count.near,
        (false, false) => count.far,
        (_, true) => count.near.max(count.far),
    };
    let all = connections_max * (NEAR_PERCENT + FAR_PERCENT) / 100;
    let near_room = connections_max * NEAR_PERCENT / 100;
    let far_room = all - near_room;
    // One for each near entry goes before the second for any of them.
    let spared = if far_room < count.far {
        near_room
            .saturating_sub(count.near)
            .min(count.far - far_room)
    } else {
        0
    };
    let room = match (is_near, alone) {
        (_, true) => all,
        (true, false) => near_room - spared,
        (false, false) => far_room + spared,
    };
    let among = among.max(1);
    room / among + u32::from(rank < room % among)
}

/// The hash by which entries are ranked for a replica; the larger one goes first.
pub fn hash_pair(vm: &str, replica: &str) -> u64 {
    let mut hasher = FixedState::with_seed(SHARE_SEED).build_hasher();
    hasher.write(vm.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(replica.as_bytes());
    hasher.finish()
}
