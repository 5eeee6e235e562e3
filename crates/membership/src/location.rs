//! Where a balancer runs: its region, zone and site. Encoded in the extension of its metadata, so
//! that versions without regions pass it on unread.

use crate::metadata::EXTENSION_MAX;
use crate::payload::encode;
use serde::{Deserialize, Serialize};

/// The longest name of a region, zone or site, in bytes: three of them fit into the extension of
/// the metadata.
pub const LOCATION_NAME_MAX: usize = 20;

/// Where a balancer runs; without a region name the whole fleet is one region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The region: its members know each other, and members of other regions only its summary.
    pub region: String,
    /// The zone within the region; may be empty.
    pub zone: String,
    /// The site within the zone; may be empty.
    pub site: String,
}

impl Location {
    /// Whether no region is named.
    #[must_use]
    pub fn is_none(&self) -> bool {
        self.region.is_empty()
    }

    /// The extension of the metadata; empty without a region.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        if self.is_none() {
            return Vec::new();
        }
        let bytes = encode(self);
        debug_assert!(bytes.len() <= EXTENSION_MAX);
        bytes
    }

    /// Decodes the extension of metadata; `None` where it contains no location, or one that is too
    /// long.
    #[must_use]
    pub fn decode(extension: &[u8]) -> Option<Self> {
        let (location, rest): (Location, _) = postcard::take_from_bytes(extension).ok()?;
        let names = [&location.region, &location.zone, &location.site];
        let is_bounded = names.iter().all(|name| name.len() <= LOCATION_NAME_MAX);
        (is_bounded && rest.is_empty() && !location.is_none()).then_some(location)
    }
}
