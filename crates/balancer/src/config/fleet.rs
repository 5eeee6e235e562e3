//! The key `fleet`: membership in a fleet. Without this key the balancer is not a member of any
//! fleet.

use super::{ConfigError, ConfigProblem, parse_address};
use membership::{LOCATION_NAME_MAX, Location, MS, MembershipSettings, Timing};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Maximum length of a fleet name, in bytes.
const FLEET_NAME_MAX: usize = 64;
/// Maximum number of join addresses.
const JOIN_ADDRESSES_MAX: usize = 64;
/// Default for `members_max`, the maximum number of members that are tracked.
const MEMBERS_DEFAULT: usize = 1_024;
/// Range of `members_max`.
const MEMBERS_RANGE: RangeInclusive<usize> = 2..=8_192;
/// Range of `suspect_ms`, the suspicion timeout in milliseconds.
const SUSPECT_MS_RANGE: RangeInclusive<u64> = 300..=60_000;
/// Maximum of `hold_ms`, the share retention in milliseconds. Its minimum is the suspicion timeout.
const HOLD_MS_MAX: u64 = 3_600_000;
/// Maximum of `forget_ms`, the tombstone retention in milliseconds. Its minimum is twice the share
/// retention.
const FORGET_MS_MAX: u64 = 86_400_000;

/// Content of the key `fleet` in the file; times are in milliseconds.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    name: String,
    bind: String,
    advertise: Option<String>,
    #[serde(default)]
    join: Vec<String>,
    members_max: Option<usize>,
    suspect_ms: Option<u64>,
    hold_ms: Option<u64>,
    forget_ms: Option<u64>,
    #[serde(default)]
    shed_together: bool,
    region: Option<String>,
    zone: Option<String>,
    site: Option<String>,
}

/// Validated configuration of this balancer's membership in a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Address that the gossip socket is bound to.
    pub bind: SocketAddr,
    name: String,
    advertise: SocketAddr,
    join: Vec<SocketAddr>,
    members_max: usize,
    timing: Timing,
    location: Location,
    /// Whether load is shed according to a level that all members agree on.
    pub shed_together: bool,
}

impl FleetConfig {
    /// Returns the membership settings of this balancer, given its name and the number of balancers
    /// in its settings.
    #[must_use]
    pub fn settings(&self, name: &str, configured: usize) -> MembershipSettings {
        MembershipSettings {
            fleet: self.name.clone(),
            name: name.into(),
            address: self.advertise,
            join: self.join.clone(),
            members_max: self.members_max,
            configured_balancers: configured,
            timing: self.timing,
            location: self.location.clone(),
        }
    }
}

impl FleetFile {
    pub(super) fn check(self) -> Result<FleetConfig, ConfigError> {
        check_length("fleet.name", &self.name, FLEET_NAME_MAX)?;
        let bind = parse_address("fleet.bind", &self.bind)?;
        let advertise = self.advertise_address()?;
        let join = self.join_addresses()?;
        let members_max = self.members_max.unwrap_or(MEMBERS_DEFAULT);
        if !MEMBERS_RANGE.contains(&members_max) {
            let problem = ConfigProblem::OutOfRange {
                value: members_max,
                minimum: *MEMBERS_RANGE.start(),
                maximum: *MEMBERS_RANGE.end(),
            };
            return Err(ConfigError::new("fleet.members_max", problem));
        }
        let timing = self.timing()?;
        let location = location(self.region, self.zone, self.site)?;
        Ok(FleetConfig {
            bind,
            name: self.name,
            advertise,
            join,
            members_max,
            timing,
            location,
            shed_together: self.shed_together,
        })
    }

    /// Returns the address that other members send to: `advertise`, or `bind` if it is not set.
    fn advertise_address(&self) -> Result<SocketAddr, ConfigError> {
        let (key, text) = match &self.advertise {
            Some(text) => ("fleet.advertise", text),
            None => ("fleet.bind", &self.bind),
        };
        let address = parse_address(key, text)?;
        if address.ip().is_unspecified() || address.port() == 0 {
            let problem = ConfigProblem::NotReachable(text.clone());
            return Err(ConfigError::new(key, problem));
        }
        Ok(address)
    }

    fn join_addresses(&self) -> Result<Vec<SocketAddr>, ConfigError> {
        if self.join.len() > JOIN_ADDRESSES_MAX {
            let problem = ConfigProblem::TooManyAddresses {
                count: self.join.len(),
                maximum: JOIN_ADDRESSES_MAX,
            };
            return Err(ConfigError::new("fleet.join", problem));
        }
        self.join
            .iter()
            .enumerate()
            .map(|(index, text)| parse_address(&format!("fleet.join[{index}]"), text))
            .collect()
    }

    fn timing(&self) -> Result<Timing, ConfigError> {
        let default = Timing::default();
        let suspicion_timeout = time(
            "fleet.suspect_ms",
            self.suspect_ms,
            default.suspicion_timeout,
            SUSPECT_MS_RANGE,
        )?;
        let share_retention = time(
            "fleet.hold_ms",
            self.hold_ms,
            default.share_retention,
            suspicion_timeout / MS..=HOLD_MS_MAX,
        )?;
        let tombstone_retention = time(
            "fleet.forget_ms",
            self.forget_ms,
            default.tombstone_retention,
            2 * share_retention / MS..=FORGET_MS_MAX,
        )?;
        Ok(Timing {
            suspicion_timeout,
            share_retention,
            tombstone_retention,
            ..default
        })
    }
}

/// Returns a configured time in nanoseconds, after checking it against its range in milliseconds.
/// The default, in nanoseconds, is used if no time is configured.
fn time(
    key: &str,
    value_ms: Option<u64>,
    default: u64,
    range_ms: RangeInclusive<u64>,
) -> Result<u64, ConfigError> {
    let value = value_ms.unwrap_or(default / MS);
    if range_ms.contains(&value) {
        return Ok(value * MS);
    }
    let problem = ConfigProblem::TimeOutOfRange {
        value,
        minimum: *range_ms.start(),
        maximum: *range_ms.end(),
    };
    Err(ConfigError::new(key, problem))
}

fn check_length(key: &str, name: &str, maximum: usize) -> Result<(), ConfigError> {
    if (1..=maximum).contains(&name.len()) {
        return Ok(());
    }
    let problem = ConfigProblem::NameLength {
        length: name.len(),
        maximum,
    };
    Err(ConfigError::new(key, problem))
}

/// Returns the location of this balancer. Without a region the location is empty, and neither a
/// zone nor a site may be set.
fn location(
    region: Option<String>,
    zone: Option<String>,
    site: Option<String>,
) -> Result<Location, ConfigError> {
    let region = location_name("fleet.region", region)?;
    let zone = location_name("fleet.zone", zone)?;
    let site = location_name("fleet.site", site)?;
    for (key, value) in [("fleet.zone", &zone), ("fleet.site", &site)] {
        if region.is_empty() && !value.is_empty() {
            return Err(ConfigError::new(key, ConfigProblem::WithoutRegion));
        }
    }
    Ok(Location { region, zone, site })
}

fn location_name(key: &str, name: Option<String>) -> Result<String, ConfigError> {
    let Some(name) = name else {
        return Ok(String::new());
    };
    check_length(key, &name, LOCATION_NAME_MAX)?;
    Ok(name)
}

#[cfg(test)]
mod tests;
