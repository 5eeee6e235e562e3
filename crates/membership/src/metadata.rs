//! Metadata: a small versioned record that each member publishes about itself.

use crate::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a member name, in bytes.
pub const NAME_MAX: usize = 32;
/// Maximum length of a build name, in bytes.
pub const BUILD_MAX: usize = 24;
/// Maximum length of the extension, in bytes.
pub const EXTENSION_MAX: usize = 64;

/// Serving phase that a member publishes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServingPhase {
    /// The member has started and does not accept clients yet.
    #[default]
    Joining,
    /// The member serves clients.
    Serving,
    /// The member is being drained by an operator or is shutting down.
    Draining,
    /// The member is leaving the fleet.
    Leaving,
}

/// Metadata that a member publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Name of the balancer.
    pub name: String,
    /// Address on which the balancer accepts clients.
    pub listen_address: SocketAddr,
    /// Current serving phase.
    pub phase: ServingPhase,
    /// Build of the balancer, for example a commit.
    pub build: String,
    /// Checksum of the configuration, by which differing configurations are found.
    pub config_checksum: u64,
    /// Rate of accepted requests, in tenths of a request per second.
    pub request_rate_tenths: u32,
    /// Number of places that the member counts in its region: one for each live member, itself
    /// included, and one for each member that vanished within the tombstone retention. Members
    /// without a majority divide by the greatest published number ([`crate::share_count`]).
    pub places: u16,
    /// Extension bytes for fields of later versions; this version stores an encoded
    /// [`crate::Location`] in them.
    pub extension: Vec<u8>,
}

/// Metadata fields whose changes are broadcast. Their encoding is checksummed, so their order is
/// part of the wire format.
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
    /// Truncates the fields that exceed their maximum length.
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

    /// Returns the fields whose changes are broadcast. The request rate and the places change
    /// continuously, and broadcasting them would cost more with every member of the fleet.
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

/// A versioned metadata record of a member. It supersedes records of lower generations, and records
/// of the same generation with lower versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataRecord {
    /// Member that published the record.
    pub member: Identity,
    /// Version, incremented with each change.
    pub version: u32,
    /// Published metadata.
    pub metadata: MemberMetadata,
}

impl MetadataRecord {
    pub(crate) fn supersedes(&self, other: &MetadataRecord) -> bool {
        (self.member.generation, self.version) > (other.member.generation, other.version)
    }

    /// Returns whether there is no predecessor, or the identity or an urgent field differs from it.
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

/// Truncates a text to at most `limit` bytes, at a character boundary.
#[must_use]
pub fn truncate(text: &str, limit: usize) -> String {
    let end = (0..=limit.min(text.len()))
        .rev()
        .find(|end| text.is_char_boundary(*end))
        .unwrap_or(0);
    text[..end].to_string()
}
