//! Selection of the delegates of a region by rendezvous hashing over its live members. All members
//! compute the same delegates; a dead delegate is replaced by the next in rank, and the other
//! delegates stay.

use super::DELEGATE_COUNT;
use crate::anti_entropy::address_bytes;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn rendezvous_weight(region_number: u64, member: SocketAddr) -> u64 {
    xxh3_64_with_seed(&address_bytes(member), region_number)
}

fn region_number(region: &str) -> u64 {
    xxh3_64_with_seed(region.as_bytes(), 0)
}

/// Returns the delegates of a region among these members, the leader first.
pub fn select(region: &str, members: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let region_number = region_number(region);
    let mut selected: Vec<(u64, SocketAddr)> = Vec::with_capacity(DELEGATE_COUNT + 1);
    for member in members {
        let candidate = (rendezvous_weight(region_number, member), member);
        let rank = selected.partition_point(|other| *other > candidate);
        if rank < DELEGATE_COUNT {
            selected.insert(rank, candidate);
            selected.truncate(DELEGATE_COUNT);
        }
    }
    selected.into_iter().map(|(_, member)| member).collect()
}
