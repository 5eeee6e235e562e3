//! What a delegate says of its region and asks of the others, and how members find their region.

use super::Member;
use super::swim::Runtime;
use crate::envelope::{MessageKind, PAYLOAD_MAX};
use crate::fault_injection::{self, InjectedFault};
use crate::metadata::ServingPhase;
use crate::regions::exchange::{AgedAnnouncement, Answer, Exchange, Question};
use crate::regions::{DELEGATES, RegionSummary};
use crate::{Identity, MS, Nanos};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A delegate asks one of the others this often.
const ASK: Nanos = 500 * MS;
/// One question in so many goes to a region that is silent, while there is one.
const ASK_SILENT_OF: u32 = 4;
/// A join address is asked this often, in case all delegates that are known of a region have died.
const ASK_JOIN: Nanos = 5_000 * MS;
/// News of other regions is written into the overview at most this often.
const WRITE: Nanos = 200 * MS;
/// A new summary is announced at most this often, and the overview looked at,
const PUBLISH: Nanos = 500 * MS;
/// and one that differs in the requests alone this often.
const PUBLISH_REQUESTS: Nanos = 30_000 * MS;
/// Delegates of the own region that are not known are asked to let this member in this often.
const REJOIN: Nanos = 500 * MS;
/// Join addresses that are known to be in other regions, at most.
const FOREIGN_MAX: usize = 64;

/// Who speaks for the regions, by a member that does not.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Referral {
    /// The region of who answers.
    pub(crate) region: String,
    /// Who speaks for it.
    pub(crate) delegates: Vec<SocketAddr>,
    /// Who speaks for the asker's region, as far as it is known.
    pub(crate) yours: Vec<SocketAddr>,
}

impl Member {
    /// Announces the region and writes the overview, as its leader.
    pub(super) fn lead(&mut self) {
        let Some(regional) = &mut self.regional else {
            return;
        };
        if !regional.leads(self.now) {
            if let Some(exchange) = &mut regional.exchange {
                exchange.retire();
            }
            return;
        }
        if self.now < regional.due.publish {
            return;
        }
        regional.due.publish = self.now + PUBLISH;
        regional.written = self.now;
        self.publish();
        let Some(regional) = &mut self.regional else {
            return;
        };
        let rows = regional.rows(self.now);
        let unix_ms = regional.unix_ms(self.now);
        regional
            .overview
            .write(self.now, unix_ms, regional.own, rows);
    }

    /// Announces the region if its figures have changed, to one delegate of each other region and to those of its own.
    fn publish(&mut self) {
        let summary = self.summary();
        let Some(regional) = &mut self.regional else {
            return;
        };
        let Some(exchange) = &mut regional.exchange else {
            return;
        };
        let former = exchange.own_summary();
        let same = former.is_some_and(|former| former.says_the_same(&summary));
        let busier =
            former.is_some_and(|former| former.request_rate_tenths != summary.request_rate_tenths);
        let due = busier && self.now.saturating_sub(regional.published) >= PUBLISH_REQUESTS;
        let early = former.is_some() && self.now.saturating_sub(regional.published) < PUBLISH;
        if same && !due || early {
            return;
        }
        regional.published = self.now;
        let unix_ms = regional.epoch_ms + self.now / MS;
        let told = exchange.publish(self.now, unix_ms, summary);
        self.tell_regions(&[told]);
    }

    /// What the own region tells of itself.
    fn summary(&self) -> RegionSummary {
        let own = self.own_figures();
        let there = self.table.members().filter(|seen| seen.status.is_present());
        let others = there.filter_map(|seen| seen.metadata.as_ref());
        let mut configs: BTreeMap<u64, u32> = BTreeMap::new();
        let mut requests = 0u32;
        for soft in others
            .chain([&self.own.metadata])
            .filter(|soft| soft.phase != ServingPhase::Leaving)
        {
            *configs.entry(soft.config_checksum).or_default() += 1;
            requests = requests.saturating_add(soft.request_rate_tenths);
        }
        let most = configs
            .iter()
            .max_by_key(|(_, count)| **count)
            .map_or((0, 0), |(config, count)| (*config, *count));
        let regional = self.regional.as_ref();
        let is_own = |former: &SocketAddr| *former == self.settings.address;
        RegionSummary {
            alive: own.living as u32,
            places: own.places as u32,
            config_checksum: most.0,
            config_minority: configs.values().sum::<u32>() - most.1,
            request_rate_tenths: two_figures(requests),
            delegates: self.delegates().to_vec(),
            replaces: regional
                .and_then(|regional| regional.former_leader)
                .filter(|former| !is_own(former)),
        }
    }

    /// Tells one delegate of each other region, and the other delegates of the own one.
    fn tell_regions(&mut self, told: &[AgedAnnouncement]) {
        let Some(regional) = &self.regional else {
            return;
        };
        let mut by_region: BTreeMap<&str, BTreeSet<SocketAddr>> = BTreeMap::new();
        for (row, _) in regional.overview.rows() {
            by_region
                .entry(&row.region)
                .or_default()
                .extend(&row.delegates);
        }
        if let Some(exchange) = &regional.exchange {
            for (region, delegates) in exchange.delegates() {
                by_region.entry(region).or_default().extend(delegates);
            }
        }
        by_region.remove(regional.location.region.as_str());
        let mut targets: Vec<SocketAddr> = Vec::new();
        for delegates in by_region
            .into_values()
            .filter(|delegates| !delegates.is_empty())
        {
            let chosen = self.rng.random_range(0..delegates.len());
            targets.extend(delegates.into_iter().nth(chosen));
        }
        targets.extend(
            regional
                .delegates
                .iter()
                .filter(|delegate| **delegate != regional.own),
        );
        let payload = AgedAnnouncement::encode(told);
        for target in targets {
            self.send(target, MessageKind::RegionAnnouncements, &payload);
        }
    }

    /// Asks a delegate of any region what it holds, if it is time.
    pub(super) fn ask_regions(&mut self) {
        let alone = self.swim.num_members() == 0;
        let Some(regional) = &mut self.regional else {
            return;
        };
        if self.now < regional.due.ask || (regional.exchange.is_none() && !alone) {
            return;
        }
        regional.due.ask = self.now + ASK;
        let targets = regional.targets(self.now);
        let mut to: Vec<SocketAddr> = self.chosen_target(&targets).into_iter().collect();
        let own_region =
            |address: &SocketAddr| self.table.knows(address) || *address == self.settings.address;
        let elsewhere: Vec<SocketAddr> = self
            .settings
            .join
            .iter()
            .copied()
            .filter(|address| !own_region(address))
            .collect();
        let Some(regional) = &mut self.regional else {
            return;
        };
        if !regional.knows_others(self.now) {
            // Nobody has been met in another region yet: all of them are asked.
            to.extend(elsewhere);
        } else if self.now >= regional.due.ask_join && !elsewhere.is_empty() {
            regional.due.ask_join = self.now + ASK_JOIN;
            to.push(elsewhere[self.rng.random_range(0..elsewhere.len())]);
        }
        to.into_iter().for_each(|to| self.ask_region(to));
    }

    /// One of these at random; while regions are silent, one in so many times one of theirs.
    fn chosen_target(&mut self, targets: &[(SocketAddr, bool)]) -> Option<SocketAddr> {
        let silent: Vec<&(SocketAddr, bool)> =
            targets.iter().filter(|(_, silent)| *silent).collect();
        if !silent.is_empty() && self.rng.random_range(0..ASK_SILENT_OF) == 0 {
            return Some(silent[self.rng.random_range(0..silent.len())].0);
        }
        let chosen = (!targets.is_empty()).then(|| self.rng.random_range(0..targets.len()))?;
        Some(targets[chosen].0)
    }

    fn ask_region(&mut self, to: SocketAddr) {
        let from = self.rng.random_range(0..usize::from(u16::MAX));
        let Some(regional) = &self.regional else {
            return;
        };
        let question = match &regional.exchange {
            Some(exchange) => exchange.question(self.now, true, from),
            None => Exchange::new(regional.own, &regional.location.region, 0)
                .question(self.now, false, 0),
        };
        self.statistics.region_digests += 1;
        let payload = postcard::to_stdvec(&question).unwrap_or_default();
        self.send(to, MessageKind::RegionDigest, &payload);
    }

    pub(super) fn take_region_question(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        let Ok(question) = postcard::from_bytes::<Question>(payload) else {
            return false;
        };
        self.note_region_of(from, &question.region);
        let Some(regional) = &mut self.regional else {
            return false;
        };
        let (kind, payload) = match &mut regional.exchange {
            Some(exchange) => {
                let answer = exchange.answer(self.now, &question);
                (MessageKind::RegionDelta, postcard::to_stdvec(&answer))
            }
            None => {
                let yours = regional
                    .overview
                    .rows()
                    .find(|(row, _)| row.region == question.region);
                let referral = Referral {
                    region: regional.location.region.clone(),
                    delegates: regional.delegates.clone(),
                    yours: yours
                        .map(|(row, _)| row.delegates.clone())
                        .unwrap_or_default(),
                };
                (MessageKind::RegionReferral, postcard::to_stdvec(&referral))
            }
        };
        self.send(from, kind, &payload.unwrap_or_default());
        true
    }

    pub(super) fn take_region_answer(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        let Ok(answer) = postcard::from_bytes::<Answer>(payload) else {
            return false;
        };
        self.note_region_of(from, &answer.region);
        let Some(regional) = &mut self.regional else {
            return false;
        };
        let own = own_delegates(&regional.location.region, &answer.told);
        self.join_own(own);
        let Some(regional) = &mut self.regional else {
            return false;
        };
        let unix_ms = regional.unix_ms(self.now);
        let Some(exchange) = &mut regional.exchange else {
            return true;
        };
        let (wanted, new) = exchange.take_answer(self.now, unix_ms, &answer);
        regional.referred.clear();
        if !wanted.is_empty() {
            let payload = AgedAnnouncement::encode(&wanted);
            self.send(from, MessageKind::RegionAnnouncements, &payload);
        }
        self.heard_of(&new);
        true
    }

    pub(super) fn take_region_news(&mut self, payload: &[u8]) -> bool {
        let Ok(told) = postcard::from_bytes::<Vec<AgedAnnouncement>>(payload) else {
            return false;
        };
        let Some(regional) = &mut self.regional else {
            return false;
        };
        let own = own_delegates(&regional.location.region, &told);
        let unix_ms = regional.unix_ms(self.now);
        let Some(exchange) = &mut regional.exchange else {
            return true;
        };
        let new = exchange.take(self.now, unix_ms, &told);
        self.heard_of(&new);
        self.join_own(own);
        true
    }

    /// News of other regions is written into the overview at the leader's next turn; other delegates of the region that
    /// have not heard of it are told by it.
    fn heard_of(&mut self, new: &[AgedAnnouncement]) {
        let Some(regional) = &mut self.regional else {
            return;
        };
        if new.is_empty() {
            return;
        }
        if regional.leads(self.now) {
            regional.due.publish = regional.due.publish.min(regional.written + WRITE);
            return;
        }
        let leader = regional
            .delegates
            .first()
            .copied()
            .filter(|leader| *leader != regional.own);
        let payload = AgedAnnouncement::encode(new);
        if let Some(leader) = leader
            && payload.len() <= PAYLOAD_MAX
        {
            self.send(leader, MessageKind::RegionAnnouncements, &payload);
        }
    }

    pub(super) fn take_region_referral(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        let Ok(referral) = postcard::from_bytes::<Referral>(payload) else {
            return false;
        };
        if referral.delegates.len() > DELEGATES || referral.yours.len() > DELEGATES {
            return false;
        }
        self.note_region_of(from, &referral.region);
        let Some(regional) = &mut self.regional else {
            return false;
        };
        if referral.region == regional.location.region {
            self.join_own(referral.delegates);
            return true;
        }
        regional.referred = referral.delegates;
        self.join_own(referral.yours);
        true
    }

    /// A join address in another region is not asked to let this member into its own.
    fn note_region_of(&mut self, from: SocketAddr, region: &str) {
        let Some(regional) = &mut self.regional else {
            return;
        };
        if region == regional.location.region {
            regional.foreign.remove(&from);
        } else if self.settings.join.contains(&from) && regional.foreign.len() < FOREIGN_MAX {
            regional.foreign.insert(from);
        }
    }

    /// Whether this join address is known to be in another region.
    pub(super) fn is_foreign(&self, address: &SocketAddr) -> bool {
        self.regional
            .as_ref()
            .is_some_and(|regional| regional.foreign.contains(address))
    }

    /// Asks delegates of the own region that are not known to let this member in: it has met nobody of its region yet, or
    /// the region is split.
    fn join_own(&mut self, delegates: Vec<SocketAddr>) {
        let Some(regional) = &mut self.regional else {
            return;
        };
        if fault_injection::is_injected(InjectedFault::IgnoresReferrals)
            || self.now < regional.due.rejoin
        {
            return;
        }
        let known =
            |address: &SocketAddr| self.swim.iter_members().any(|m| m.id().address == *address);
        let unknown: Vec<SocketAddr> = delegates
            .into_iter()
            .filter(|address| *address != regional.own && !known(address))
            .collect();
        if unknown.is_empty() {
            return;
        }
        regional.due.rejoin = self.now + REJOIN;
        let mut runtime = Runtime::default();
        for address in unknown.into_iter().take(DELEGATES + 1) {
            // Its errors are those of sending.
            let _ = self.swim.announce(
                Identity {
                    address,
                    generation: 0,
                },
                &mut runtime,
            );
        }
        self.carry_out(runtime);
    }
}

/// Who speaks for this region, by these announcements.
fn own_delegates(region: &str, told: &[AgedAnnouncement]) -> Vec<SocketAddr> {
    let own = told
        .iter()
        .map(|told| &told.announcement)
        .filter(|announcement| announcement.region == region);
    own.flat_map(|announcement| {
        announcement
            .summary()
            .delegates
            .iter()
            .copied()
            .take(DELEGATES)
    })
    .collect()
}

/// To two figures: what changes less is not worth telling a whole fleet.
fn two_figures(value: u32) -> u32 {
    let step = 10u32.pow(value.max(1).ilog10().saturating_sub(1));
    value / step * step
}
