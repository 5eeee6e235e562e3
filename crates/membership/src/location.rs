//! Where a balancer runs: its region, zone and site. Encoded in the extension of its record, so that members of versions
//! without regions pass it on unread.

use crate::metadata::EXTRA_MAX;
use serde::{Deserialize, Serialize};

/// The longest name of a region, zone or site, in bytes: three of them fit into the extension of a record.
pub const LOCATION_NAME_MAX: usize = 20;

/// Where a balancer runs; without a region the whole fleet is one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The region: the members within it know each other, those of others only its summary.
    pub region: String,
    /// The zone within the region; may be empty.
    pub zone: String,
    /// The site within the zone; may be empty.
    pub site: String,
}

impl Location {
    /// Whether it names no region: then nothing differs from a fleet without regions.
    pub fn is_none(&self) -> bool {
        self.region.is_empty()
    }

    /// The extension of a record that tells it; empty without a region.
    pub fn encode(&self) -> Vec<u8> {
        if self.is_none() {
            return Vec::new();
        }
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        debug_assert!(bytes.len() <= EXTRA_MAX);
        bytes
    }

    /// Reads the extension of a record; `None` where it tells no location, or one that is too long.
    pub fn decode(extra: &[u8]) -> Option<Self> {
        let (location, rest): (Location, _) = postcard::take_from_bytes(extra).ok()?;
        let names = [&location.region, &location.zone, &location.site];
        let bounded = names.iter().all(|name| name.len() <= LOCATION_NAME_MAX);
        (bounded && rest.is_empty() && !location.is_none()).then_some(location)
    }
}
