//! Digests of requests, by which a request is recognised when its caller sends it again.

use std::hash::{BuildHasher, Hasher};

use foldhash::fast::FixedState;

use crate::prelude::*;

/// Seed of the request digest. It is part of the protocol because crash records contain digests.
const DIGEST_SEED: u64 = 0x6469_6765_7374_0001;

/// Returns the digest of a request with this body, for the target described by `names`. The names
/// must not contain zero bytes.
pub fn digest_request(names: &[&str], body: &[u8]) -> RequestDigest {
    let mut hasher = FixedState::with_seed(DIGEST_SEED).build_hasher();
    for name in names {
        hasher.write(name.as_bytes());
        hasher.write_u8(0);
    }
    hasher.write(body);
    RequestDigest(hasher.finish())
}
