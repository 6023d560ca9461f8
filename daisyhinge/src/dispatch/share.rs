//! An entry's share of a replica's connections, and of the rate of requests that it takes.
//!
//! Half of the connections are for entries in the replica's region, which send it most of its
//! requests. If some of the other entries would get none, the connections beyond one for each entry
//! in the region are reassigned to them. If there are more entries than connections, a hash selects
//! the entries that get one.

use std::hash::{BuildHasher, Hasher};

use foldhash::fast::FixedState;

/// Percentage of the connections for entries in the replica's region.
const LOCAL_PERCENT: u32 = 50;
/// Percentage of the connections for all other entries.
const REMOTE_PERCENT: u32 = 44;
/// Percentage of a stated rate for entries in the replica's region; the others have nearer replicas.
const LOCAL_RATE_PERCENT: u32 = 90;
/// Seed of the hash; part of the protocol, since all entries must compute the same ranking.
const SHARE_SEED: u64 = 0x7368_6172_6573_0001;

/// Numbers of active entries, by their location relative to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryCount {
    /// Entries in the replica's region.
    pub local: u32,
    /// Entries in other regions.
    pub remote: u32,
}

/// Returns how many connections an entry may have to a replica. `rank` is the number of entries on
/// its side (the replica's region, or all others) that rank before it by hash.
pub fn connection_share(
    connections_max: u32,
    count: EntryCount,
    is_in_same_region: bool,
    rank: u32,
) -> u32 {
    let is_one_sided = count.local == 0 || count.remote == 0;
    let entries = match (is_in_same_region, is_one_sided) {
        (true, false) => count.local,
        (false, false) => count.remote,
        (_, true) => count.local.max(count.remote),
    };
    let all = connections_max * (LOCAL_PERCENT + REMOTE_PERCENT) / 100;
    let local_connections = connections_max * LOCAL_PERCENT / 100;
    let remote_connections = all - local_connections;
    // Remote entries that would get no connection take those that local entries have beyond one
    // each.
    let reassigned = if remote_connections < count.remote {
        local_connections
            .saturating_sub(count.local)
            .min(count.remote - remote_connections)
    } else {
        0
    };
    let available = match (is_in_same_region, is_one_sided) {
        (_, true) => all,
        (true, false) => local_connections - reassigned,
        (false, false) => remote_connections + reassigned,
    };
    let entries = entries.max(1);
    available / entries + u32::from(rank < available % entries)
}

/// Returns an entry's part of the rate of requests that a replica takes, from 0 to 1.
pub fn rate_share(count: EntryCount, is_in_same_region: bool) -> f64 {
    let (entries, percent) = match (is_in_same_region, count.local, count.remote) {
        (_, 0, others) | (_, others, 0) => (others, 100),
        (true, local, _) => (local, LOCAL_RATE_PERCENT),
        (false, _, remote) => (remote, 100 - LOCAL_RATE_PERCENT),
    };
    f64::from(percent) / 100.0 / f64::from(entries.max(1))
}

/// Returns the hash of an entry and a replica as a number from 0 to below 1.
pub fn hash_fraction(hash: u64) -> f64 {
    let bits = u32::try_from(hash >> u32::BITS).unwrap_or(u32::MAX);
    f64::from(bits) / (f64::from(u32::MAX) + 1.0)
}

/// Hash by which entries are ranked for a replica; larger hashes rank first.
pub fn hash_pair(vm: &str, replica: &str) -> u64 {
    let mut hasher = FixedState::with_seed(SHARE_SEED).build_hasher();
    hasher.write(vm.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(replica.as_bytes());
    hasher.finish()
}
