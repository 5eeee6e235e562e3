//! The key `fleet`: the talk with other balancers. Off unless it is there.

use super::{ConfigError, parse_address, wrong};
use membership::{LOCATION_NAME_MAX, Location, MS, MembershipSettings, Timing};
use serde::Deserialize;
use std::net::SocketAddr;

/// The longest name of a fleet, in bytes.
const NAME_MAX: usize = 64;
/// The most join addresses.
const JOIN_MAX: usize = 64;
/// The members that are held where the key does not say, and at most.
const MEMBERS_DEFAULT: usize = 1_024;
const MEMBERS_MOST: usize = 8_192;

/// The key as it is written; times are in milliseconds.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FileFleet {
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

/// How this balancer talks with the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The one address that the talk is bound to.
    pub bind: SocketAddr,
    name: String,
    advertise: SocketAddr,
    join: Vec<SocketAddr>,
    members_max: usize,
    timing: Timing,
    location: Location,
    /// Load is shed by a level that all agree on.
    pub shed_together: bool,
}

impl FleetConfig {
    /// What a member is told: this balancer's name, and the settings' number of balancers.
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

impl FileFleet {
    pub(super) fn check(self) -> Result<FleetConfig, ConfigError> {
        if self.name.is_empty() || self.name.len() > NAME_MAX {
            let problem = format!(
                "has {} bytes; 1 to {NAME_MAX} are expected",
                self.name.len()
            );
            return Err(wrong("fleet.name", problem));
        }
        let bind = parse_address("fleet.bind", &self.bind)?;
        let (key, text) = match &self.advertise {
            Some(text) => ("fleet.advertise", text),
            None => ("fleet.bind", &self.bind),
        };
        let advertise = parse_address(key, text)?;
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            let problem = format!(
                "\"{text}\" is no address that others can send to; name one in fleet.advertise"
            );
            return Err(wrong(key, problem));
        }
        if self.join.len() > JOIN_MAX {
            let problem = format!(
                "names {} addresses; {JOIN_MAX} are the most",
                self.join.len()
            );
            return Err(wrong("fleet.join", problem));
        }
        let join = self
            .join
            .iter()
            .enumerate()
            .map(|(i, text)| parse_address(&format!("fleet.join[{i}]"), text));
        let join = join.collect::<Result<Vec<_>, _>>()?;
        let members_max = self.members_max.unwrap_or(MEMBERS_DEFAULT);
        if !(2..=MEMBERS_MOST).contains(&members_max) {
            return Err(wrong(
                "fleet.members_max",
                format!("{members_max} is not in 2 to {MEMBERS_MOST}"),
            ));
        }
        let default = Timing::default();
        let span = |key: &str, value: Option<u64>, default: u64, least: u64, most: u64| {
            let value = value.unwrap_or(default / MS);
            if (least..=most).contains(&value) {
                return Ok(value * MS);
            }
            Err(wrong(
                key,
                format!("{value} ms is not in {least} to {most}"),
            ))
        };
        let suspect = span(
            "fleet.suspect_ms",
            self.suspect_ms,
            default.suspicion_timeout,
            300,
            60_000,
        )?;
        let hold = span(
            "fleet.hold_ms",
            self.hold_ms,
            default.share_retention,
            suspect / MS,
            3_600_000,
        )?;
        let forget = span(
            "fleet.forget_ms",
            self.forget_ms,
            default.tombstone_retention,
            2 * hold / MS,
            86_400_000,
        )?;
        let timing = Timing {
            suspicion_timeout: suspect,
            share_retention: hold,
            tombstone_retention: forget,
            ..default
        };
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
}

/// The place of this balancer; without `region` there is none, and nothing may be told of one.
fn location(
    region: Option<String>,
    zone: Option<String>,
    site: Option<String>,
) -> Result<Location, ConfigError> {
    let name = |key: &str, value: Option<String>| match value {
        Some(name) if name.is_empty() || name.len() > LOCATION_NAME_MAX => {
            let problem = format!(
                "has {} bytes; 1 to {LOCATION_NAME_MAX} are expected",
                name.len()
            );
            Err(wrong(key, problem))
        }
        value => Ok(value.unwrap_or_default()),
    };
    let region = name("fleet.region", region)?;
    let zone = name("fleet.zone", zone)?;
    let site = name("fleet.site", site)?;
    for (key, value) in [("fleet.zone", &zone), ("fleet.site", &site)] {
        if region.is_empty() && !value.is_empty() {
            return Err(wrong(
                key,
                "says where in a region, and fleet.region is not set",
            ));
        }
    }
    Ok(Location { region, zone, site })
}

#[cfg(test)]
mod tests;
