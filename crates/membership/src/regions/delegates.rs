//! Who speaks for a region: drawn by rendezvous hashing over its living members, so that all name the same ones, a
//! delegate that dies is replaced by the next, and nobody else changes.

use super::DELEGATES;
use crate::anti_entropy::bytes_of;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a member in the draw for a region.
fn weight(region: u64, member: SocketAddr) -> u64 {
    xxh3_64_with_seed(&bytes_of(member), region)
}

/// The region's number in the draw.
fn number(region: &str) -> u64 {
    xxh3_64_with_seed(region.as_bytes(), 0)
}

/// The delegates of a region among these members, first the leader.
pub fn draw(region: &str, members: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let region = number(region);
    let mut drawn: Vec<(u64, SocketAddr)> = Vec::with_capacity(DELEGATES + 1);
    for member in members {
        let candidate = (weight(region, member), member);
        let rank = drawn.partition_point(|other| *other > candidate);
        if rank < DELEGATES {
            drawn.insert(rank, candidate);
            drawn.truncate(DELEGATES);
        }
    }
    drawn.into_iter().map(|(_, member)| member).collect()
}
