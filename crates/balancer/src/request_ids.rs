//! Hashes of request ids, by which ids are remembered.

use xxhash_rust::xxh3::xxh3_128;

/// Hash of a request id.
pub type IdHash = u128;

/// Returns the hash of a request id.
#[must_use]
pub fn hash_id(id: &[u8]) -> IdHash {
    xxh3_128(id)
}
