//! The line of gossip counters that the process prints on SIGUSR1 and at its end.

use super::GossipTransport;
use membership::MemberStatus;
use std::fmt;

/// Formats the counters as `name=value` pairs with the names of `/admin/fleet`.
impl fmt::Display for GossipTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let view = self.member.view();
        let count = |status: MemberStatus| {
            let members = view.members.iter();
            members.filter(|member| member.status == status).count()
        };
        write!(
            f,
            "fleet: shared_by={} living={} places={}",
            self.share_count, view.alive, view.places
        )?;
        for status in [
            MemberStatus::Joining,
            MemberStatus::Serving,
            MemberStatus::Stalled,
            MemberStatus::Draining,
            MemberStatus::Left,
            MemberStatus::Dead,
        ] {
            write!(f, " {}={}", status.name(), count(status))?;
        }
        self.write_datagrams(f)?;
        if self.member.location().is_none() {
            return Ok(());
        }
        self.write_regions(f)
    }
}

impl GossipTransport {
    fn write_datagrams(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let statistics = self.member.statistics();
        write!(
            f,
            " sent={} sent_bytes={} heard={} heard_bytes={} unsent={} torn={} foreign={} \
             version={} malformed={} full={} asked={} suspicions={} given_up={} refuted={} \
             returned={} gaps={} compared={} load={} level={:.2}",
            statistics.sent,
            statistics.sent_bytes,
            statistics.received,
            statistics.received_bytes,
            self.unsent,
            statistics.corrupt,
            statistics.foreign,
            statistics.unsupported_version,
            statistics.malformed,
            statistics.over_capacity,
            statistics.watcher_probes,
            statistics.suspicions,
            statistics.confirmed_dead,
            statistics.refutations,
            statistics.rejoins,
            statistics.stalls,
            statistics.digests,
            statistics.level_reports,
            self.member.shedding_level()
        )
    }

    fn write_regions(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let view = self.member.view();
        let statistics = self.member.statistics();
        let silent = view
            .regions
            .iter()
            .filter(|region| region.silent_since.is_some())
            .count();
        let (dropped, refused_parts) = self.member.regions_dropped();
        write!(
            f,
            " regions={} silent_regions={silent} regions_asked={} put_off={} unsound={} \
             older={} full_regions={} refused_parts={refused_parts}",
            view.regions.len(),
            statistics.region_digests,
            statistics.deferred,
            dropped.invalid,
            dropped.outdated,
            dropped.over_capacity,
        )
    }
}
