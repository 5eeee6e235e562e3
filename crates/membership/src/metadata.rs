//! Metadata: a small versioned record that each member publishes of itself.

use crate::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name, in bytes.
pub const NAME_MAX: usize = 32;
/// The longest name of a build, in bytes.
pub const BUILD_MAX: usize = 24;
/// The longest extension, in bytes.
pub const EXTENSION_MAX: usize = 64;

/// What a member says that it does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServingPhase {
    /// It has started and is not ready yet.
    #[default]
    Joining,
    /// It serves clients.
    Serving,
    /// It is drained by its operators, or about to end.
    Draining,
    /// It leaves the fleet.
    Leaving,
}

/// What a member publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Its name.
    pub name: String,
    /// Where its clients connect.
    pub listen_address: SocketAddr,
    /// What it does.
    pub phase: ServingPhase,
    /// Its build.
    pub build: String,
    /// A checksum of its configuration.
    pub config_checksum: u64,
    /// Requests that it accepts a second, in tenths.
    pub request_rate_tenths: u32,
    /// How many places it counts ([`crate::share_count`]).
    pub places: u16,
    /// Bytes for fields of later versions; those of this version encode a [`crate::Location`].
    pub extension: Vec<u8>,
}

/// The fields of metadata that all members should learn soon; their encoding is checksummed.
#[derive(PartialEq, Eq, Serialize)]
pub(crate) struct UrgentFields<'a> {
    phase: ServingPhase,
    listen_address: SocketAddr,
    config_checksum: u64,
    name: &'a str,
    build: &'a str,
    extension: &'a [u8],
}

impl MemberMetadata {
    /// Truncates what is too long.
    pub(crate) fn truncated(mut self) -> Self {
        self.name = truncate(&self.name, NAME_MAX);
        self.build = truncate(&self.build, BUILD_MAX);
        self.extension.truncate(EXTENSION_MAX);
        self
    }

    fn is_bounded(&self) -> bool {
        self.name.len() <= NAME_MAX
            && self.build.len() <= BUILD_MAX
            && self.extension.len() <= EXTENSION_MAX
    }

    /// The fields that all members should learn soon. Request rate and places change all the time,
    /// and broadcasts of them would grow with the fleet.
    pub(crate) fn urgent_fields(&self) -> UrgentFields<'_> {
        UrgentFields {
            phase: self.phase,
            listen_address: self.listen_address,
            config_checksum: self.config_checksum,
            name: &self.name,
            build: &self.build,
            extension: &self.extension,
        }
    }
}

/// A member's metadata; the later generation, then the higher version supersedes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataRecord {
    /// The member that published it.
    pub member: Identity,
    /// Counts up with each change.
    pub version: u32,
    /// The metadata.
    pub metadata: MemberMetadata,
}

impl MetadataRecord {
    pub(crate) fn supersedes(&self, other: &MetadataRecord) -> bool {
        (self.member.generation, self.version) > (other.member.generation, other.version)
    }

    /// Whether it differs from its predecessor in what all members should learn soon.
    pub(crate) fn is_urgent(&self, predecessor: Option<&MetadataRecord>) -> bool {
        predecessor.is_none_or(|predecessor| {
            self.member != predecessor.member
                || self.metadata.urgent_fields() != predecessor.metadata.urgent_fields()
        })
    }

    pub(crate) fn is_bounded(&self) -> bool {
        self.metadata.is_bounded()
    }
}

/// Truncates a text to at most so many bytes, at a character boundary.
#[must_use]
pub fn truncate(text: &str, limit: usize) -> String {
    let end = (0..=limit.min(text.len()))
        .rev()
        .find(|end| text.is_char_boundary(*end))
        .unwrap_or(0);
    text[..end].to_string()
}
