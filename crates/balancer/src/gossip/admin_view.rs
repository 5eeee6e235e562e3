//! Response body of `/admin/fleet`. The JSON keys are the field names or the names in
//! `serde(rename)`; times are in milliseconds.

use crate::timers::MS;
use membership::{
    Location, Member, MemberMetadata, MemberStatistics, MemberStatus, MemberView, RegionView,
};
use routing::Nanos;
use serde::Serialize;
use std::net::SocketAddr;

/// Top-level object of the response body.
#[derive(Serialize)]
pub(super) struct FleetRow {
    fleet: String,
    name: String,
    address: SocketAddr,
    generation: u64,
    #[serde(rename = "door")]
    listen_address: SocketAddr,
    #[serde(rename = "config")]
    config_checksum: String,
    #[serde(rename = "shared_by")]
    share_count: usize,
    #[serde(rename = "living")]
    alive: usize,
    places: usize,
    #[serde(rename = "cut_off")]
    isolated: bool,
    #[serde(rename = "level")]
    shedding_level: f64,
    members: Vec<MemberRow>,
    #[serde(rename = "datagrams")]
    statistics: MemberStatistics,
    unsent: u64,
    /// Present only if regions are configured.
    #[serde(flatten)]
    regions: Option<RegionsRow>,
}

impl FleetRow {
    /// Creates the row from the state of this member. `share_count` is the share count of the
    /// engine, `unsent` the number of datagrams that were not sent.
    pub(super) fn new(member: &Member, share_count: usize, unsent: u64, now: Nanos) -> Self {
        let view = member.view();
        let metadata = member.metadata();
        let has_regions = !member.location().is_none();
        let members = view.members.iter();
        FleetRow {
            fleet: member.fleet_name().to_string(),
            name: metadata.name.clone(),
            address: member.id().address,
            generation: member.id().generation,
            listen_address: metadata.listen_address,
            config_checksum: format_checksum(metadata.config_checksum),
            share_count,
            alive: view.alive,
            places: view.places,
            isolated: view.isolated,
            shedding_level: member.shedding_level(),
            members: members.map(|member| MemberRow::new(member, now)).collect(),
            statistics: member.statistics(),
            unsent,
            regions: has_regions.then(|| RegionsRow::new(member, now)),
        }
    }

    /// Returns the body as one line of JSON with sorted keys.
    pub(super) fn to_json(&self) -> String {
        // A `serde_json::Value` sorts the keys.
        let value = serde_json::to_value(self).unwrap_or_default();
        format!("{value}\n")
    }
}

/// Another member of the fleet.
#[derive(Serialize)]
pub(super) struct MemberRow {
    name: String,
    address: SocketAddr,
    generation: u64,
    incarnation: u16,
    #[serde(rename = "state")]
    status: MemberStatus,
    since_ms: u64,
    #[serde(rename = "door")]
    listen_address: Option<SocketAddr>,
    build: Option<String>,
    #[serde(rename = "config")]
    config_checksum: Option<String>,
    requests_per_s: Option<f64>,
    places: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    zone: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    site: Option<String>,
}

impl MemberRow {
    pub(super) fn new(member: &MemberView, now: Nanos) -> Self {
        let metadata = member.metadata.as_ref();
        let location = metadata.and_then(|m| Location::decode(&m.extension));
        let location = location.unwrap_or_default();
        MemberRow {
            name: member.name(),
            address: member.id.address,
            generation: member.id.generation,
            incarnation: member.incarnation,
            status: member.status,
            since_ms: now.saturating_sub(member.since) / MS,
            listen_address: metadata.map(|m| m.listen_address),
            build: metadata.map(|m| m.build.clone()),
            config_checksum: metadata.map(|m| format_checksum(m.config_checksum)),
            requests_per_s: metadata
                .map(|m: &MemberMetadata| requests_per_second(m.request_rate_tenths)),
            places: metadata.map(|m| m.places),
            zone: Some(location.zone).filter(|zone| !zone.is_empty()),
            site: Some(location.site).filter(|site| !site.is_empty()),
        }
    }
}

/// The location of this member, and the regions of the fleet.
#[derive(Serialize)]
struct RegionsRow {
    region: String,
    zone: String,
    site: String,
    delegates: Vec<String>,
    regions: Vec<RegionRow>,
    regions_dropped: DroppedRow,
}

impl RegionsRow {
    fn new(member: &Member, now: Nanos) -> Self {
        let view = member.view();
        let location = member.location();
        let (dropped, refused_parts) = member.regions_dropped();
        let regions = view.regions.iter();
        RegionsRow {
            region: location.region.clone(),
            zone: location.zone.clone(),
            site: location.site.clone(),
            delegates: view.delegates.iter().map(ToString::to_string).collect(),
            regions: regions.map(|region| RegionRow::new(region, now)).collect(),
            regions_dropped: DroppedRow {
                unsound: dropped.invalid,
                outdated: dropped.outdated,
                over_capacity: dropped.over_capacity,
                refused_parts,
            },
        }
    }
}

/// Numbers of dropped region summaries, by reason.
#[derive(Serialize)]
struct DroppedRow {
    unsound: u64,
    #[serde(rename = "older")]
    outdated: u64,
    #[serde(rename = "full")]
    over_capacity: u64,
    refused_parts: u64,
}

/// A region, from its latest summary.
#[derive(Serialize)]
struct RegionRow {
    region: String,
    #[serde(rename = "living")]
    alive: u32,
    places: u32,
    #[serde(rename = "config")]
    config_checksum: String,
    #[serde(rename = "config_others")]
    config_minority: u32,
    requests_per_s: f64,
    delegates: Vec<SocketAddr>,
    authors: u8,
    /// Time since the summary last changed. It depends on the clocks of the delegates of the region
    /// and of this balancer.
    changed_ms: u64,
    silent_ms: Option<u64>,
}

impl RegionRow {
    fn new(region: &RegionView, now: Nanos) -> Self {
        let status = &region.status;
        let silent_since = region.silent_since;
        RegionRow {
            region: status.region.clone(),
            alive: status.alive,
            places: status.places,
            config_checksum: format_checksum(status.config_checksum),
            config_minority: status.config_minority,
            requests_per_s: requests_per_second(status.request_rate_tenths),
            delegates: status.delegates.clone(),
            authors: status.authors,
            changed_ms: (now / MS).saturating_sub(status.version),
            silent_ms: silent_since.map(|since| now.saturating_sub(since) / MS),
        }
    }
}

fn format_checksum(checksum: u64) -> String {
    format!("{checksum:016x}")
}

fn requests_per_second(tenths: u32) -> f64 {
    f64::from(tenths) / 10.0
}
