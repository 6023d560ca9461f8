//! Identifies customers by their API keys.
//!
//! Only SHA-256 digests of keys are held and compared. A look-up always scans the same number of
//! slots and compares digests in constant time, so its duration does not tell how much of a digest
//! matches.

use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::{ConditionallySelectable, ConstantTimeEq};

use crate::prelude::*;
use crate::vocabulary::site::{KeyDigest, SiteCustomer};

/// Average number of keys of a bucket at most. All buckets are as wide as the fullest one; with
/// 10,000 keys, that is 6 to 12 slots.
const KEYS_PER_BUCKET: usize = 2;
/// Customer index of an unused slot.
const UNUSED: u32 = u32::MAX;

/// Returns the digest under which a key is known.
pub fn digest_key(key: &[u8]) -> KeyDigest {
    KeyDigest(Sha256::digest(key).into())
}

#[derive(Clone, Copy, Debug)]
struct KeySlot {
    digest: KeyDigest,
    /// Index of the customer; [`UNUSED`] if the slot holds no key.
    customer: u32,
}

/// Customers by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct CustomerTable {
    customers: Vec<Arc<SiteCustomer>>,
    /// Slots of all buckets, `width` for each.
    slots: Vec<KeySlot>,
    width: usize,
}

impl CustomerTable {
    /// Creates the table of the customers of a configuration.
    pub fn open(customers: Vec<Arc<SiteCustomer>>) -> Self {
        let keys: usize = customers.iter().map(|one| one.digests.len()).sum();
        let bucket_count = (keys / KEYS_PER_BUCKET).next_power_of_two();
        let mut buckets: Vec<Vec<KeySlot>> = vec![Vec::new(); bucket_count];
        for (index, customer) in (0..UNUSED).zip(&customers) {
            for digest in customer.digests.iter() {
                buckets[bucket_of(digest, bucket_count)].push(KeySlot {
                    digest: *digest,
                    customer: index,
                });
            }
        }
        let width = buckets.iter().map(Vec::len).max().unwrap_or(0);
        let unused = KeySlot {
            digest: KeyDigest([0; 32]),
            customer: UNUSED,
        };
        for bucket in &mut buckets {
            bucket.resize(width, unused);
        }
        Self {
            customers,
            slots: buckets.into_iter().flatten().collect(),
            width,
        }
    }

    /// Returns the customers in the order of the configuration.
    pub fn customers(&self) -> &[Arc<SiteCustomer>] {
        &self.customers
    }

    /// Returns the position of the customer that has the key with this digest.
    pub fn find_position(&self, digest: &KeyDigest) -> Option<usize> {
        if self.width == 0 {
            return None;
        }
        let first = bucket_of(digest, self.slots.len() / self.width) * self.width;
        let mut found = UNUSED;
        for slot in &self.slots[first..first + self.width] {
            let equal = slot.digest.0.ct_eq(&digest.0);
            found.conditional_assign(&slot.customer, equal);
        }
        usize::try_from(found).ok().filter(|_| found != UNUSED)
    }

    /// Returns the customer that has the key with this digest.
    pub fn find(&self, digest: &KeyDigest) -> Option<&Arc<SiteCustomer>> {
        self.customers.get(self.find_position(digest)?)
    }
}

/// Returns the bucket of a digest, whose bits are evenly distributed.
fn bucket_of(digest: &KeyDigest, bucket_count: usize) -> usize {
    let prefix = digest
        .0
        .first_chunk()
        .map_or(0, |bytes| u32::from_le_bytes(*bytes));
    prefix as usize & (bucket_count - 1)
}

/// Returns the regions that both a route and a customer allow, empty for all regions.
///
/// # Errors
/// [`ResultCode::NoCommonRegion`] if both are restricted and have no region in common.
pub fn intersect_regions(
    route: &Arc<[RegionName]>,
    customer: &Arc<[RegionName]>,
) -> Result<Arc<[RegionName]>, ResultCode> {
    if customer.is_empty() {
        return Ok(Arc::clone(route));
    }
    if route.is_empty() {
        return Ok(Arc::clone(customer));
    }
    let common: Arc<[RegionName]> = route
        .iter()
        .filter(|region| customer.contains(region))
        .cloned()
        .collect();
    if common.is_empty() {
        return Err(ResultCode::NoCommonRegion);
    }
    Ok(common)
}
