//! Location of a balancer: its region, zone and site. The location is encoded in the extension of
//! the metadata, which versions without regions forward without decoding it.

use crate::metadata::EXTENSION_MAX;
use crate::payload::encode;
use serde::{Deserialize, Serialize};

/// Maximum length of a region, zone or site name, in bytes; three names fit into the extension of
/// the metadata.
pub const LOCATION_NAME_MAX: usize = 20;

/// Location of a balancer; without a region name the whole fleet is one region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Region name. Members track each other within a region, and store only a summary of other
    /// regions.
    pub region: String,
    /// Zone within the region; may be empty.
    pub zone: String,
    /// Site within the zone; may be empty.
    pub site: String,
}

impl Location {
    /// Returns whether no region is configured.
    #[must_use]
    pub fn is_none(&self) -> bool {
        self.region.is_empty()
    }

    /// Encodes the location as the extension of the metadata; empty without a region.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        if self.is_none() {
            return Vec::new();
        }
        let bytes = encode(self);
        debug_assert!(bytes.len() <= EXTENSION_MAX);
        bytes
    }

    /// Decodes the extension of the metadata. Returns `None` if it contains no location, or a name
    /// longer than [`LOCATION_NAME_MAX`].
    #[must_use]
    pub fn decode(extension: &[u8]) -> Option<Self> {
        let (location, rest): (Location, _) = postcard::take_from_bytes(extension).ok()?;
        let names = [&location.region, &location.zone, &location.site];
        let is_bounded = names.iter().all(|name| name.len() <= LOCATION_NAME_MAX);
        (is_bounded && rest.is_empty() && !location.is_none()).then_some(location)
    }
}
