//! The delegates of a region: drawn by rendezvous hashing over its live members, so that all
//! members compute the same ones, a dead delegate is replaced by the next in rank, and nothing else
//! changes.

use super::DELEGATES;
use crate::anti_entropy::address_bytes;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn weight(region_number: u64, member: SocketAddr) -> u64 {
    xxh3_64_with_seed(&address_bytes(member), region_number)
}

fn region_number(region: &str) -> u64 {
    xxh3_64_with_seed(region.as_bytes(), 0)
}

/// The delegates of a region among these members, the leader first.
pub fn draw(region: &str, members: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let region_number = region_number(region);
    let mut drawn: Vec<(u64, SocketAddr)> = Vec::with_capacity(DELEGATES + 1);
    for member in members {
        let candidate = (weight(region_number, member), member);
        let rank = drawn.partition_point(|other| *other > candidate);
        if rank < DELEGATES {
            drawn.insert(rank, candidate);
            drawn.truncate(DELEGATES);
        }
    }
    drawn.into_iter().map(|(_, member)| member).collect()
}
