//! What a router has learnt, as it hands it over to the one that takes its place. Nothing is decided here.

use super::{BACKOFF, BACKOFF_MAX, Engine};
use crate::api::*;
use crate::stats::{Mean, MeanParts};
use serde::{Deserialize, Serialize};

/// What a router has learnt of its servers, of latencies and of load. Of requests and keys it tells nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    servers: Vec<LearntServer>,
    /// The record behind T: its buckets, and how many samples it has had.
    record: (Vec<f64>, u64),
    fetch: MeanParts,
    hits: Vec<f64>,
    origin_room: f64,
    bad: f64,
    usual: f64,
    /// Copies and retries that may still be sent beyond their share.
    budgets: [f64; 2],
    /// Requests asked, taken and served, a second.
    rates: [f64; 3],
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LearntServer {
    id: u64,
    /// Another start is another process, of which nothing is known.
    started: Nanos,
    latency: MeanParts,
    hits: f64,
    limit: f64,
    strikes: f64,
    turned: f64,
    suspect_until: Option<Nanos>,
    proven: bool,
    backoff: Nanos,
    cold_budget: f64,
    cold_budget_at: Nanos,
}

impl LearntServer {
    fn figures(&self) -> impl Iterator<Item = f64> {
        // What is sent to a cold server beyond its due is owed: that budget may be under 0.
        let one = [
            self.hits,
            self.limit,
            self.strikes,
            self.turned,
            self.cold_budget.abs(),
        ];
        self.latency.into_iter().chain(one)
    }
}

impl Engine {
    /// What this router has learnt. What it has saved up of budgets it shares evenly with the one it is told to: the
    /// two together send no more than one.
    pub fn take_snapshot(&mut self) -> Snapshot {
        self.copy_budget /= 2.0;
        self.retry_budget /= 2.0;
        for server in self.servers.values_mut() {
            server.cold_budget /= 2.0;
        }
        let servers = self.servers.iter().map(|(id, s)| LearntServer {
            id: id.0,
            started: s.entry.started,
            latency: s.latency.parts(),
            hits: s.hits,
            limit: s.limit,
            strikes: s.strikes,
            turned: s.turned,
            suspect_until: s.suspect_until,
            proven: s.proven,
            backoff: s.backoff,
            cold_budget: s.cold_budget,
            cold_budget_at: s.cold_budget_at,
        });
        Snapshot {
            servers: servers.collect(),
            record: (self.record.buckets.clone(), self.record.samples),
            fetch: self.fetch.parts(),
            hits: self.hits.to_vec(),
            origin_room: self.origin_room,
            bad: self.bad,
            usual: self.usual,
            budgets: [self.copy_budget, self.retry_budget],
            rates: [&self.asked, &self.taken, &self.served].map(|rate| rate.per_s(self.now)),
        }
    }

    /// Takes over what another router had learnt, as far as it is of servers that this one has listed. If a figure makes
    /// no sense, none is taken over.
    ///
    /// # Errors
    ///
    /// Says which part makes no sense: a figure that is negative or no number, or a record of another form.
    pub fn restore(&mut self, learnt: &Snapshot) -> Result<(), &'static str> {
        let sound = |f: f64| f.is_finite() && f >= 0.0;
        if !learnt
            .servers
            .iter()
            .flat_map(LearntServer::figures)
            .all(sound)
        {
            return Err("servers: a figure makes no sense");
        }
        let all = [learnt.origin_room, learnt.bad, learnt.usual];
        let all = all
            .into_iter()
            .chain(learnt.fetch)
            .chain(learnt.budgets)
            .chain(learnt.rates);
        if !all.chain(learnt.hits.iter().copied()).all(sound) {
            return Err("a figure makes no sense");
        }
        let hits = learnt
            .hits
            .as_slice()
            .try_into()
            .map_err(|_| "hits: not one for each rank")?;
        if !self.record.recall(&learnt.record.0, learnt.record.1) {
            return Err("record: makes no sense");
        }
        self.hits = hits;
        self.fetch = Mean::of(learnt.fetch);
        (self.origin_room, self.bad, self.usual) =
            (learnt.origin_room.min(1.0), learnt.bad, learnt.usual);
        let [copies, retries] = learnt.budgets;
        (self.copy_budget, self.retry_budget) =
            (self.copy_budget.min(copies), self.retry_budget.min(retries));
        for (rate, per_s) in [&mut self.asked, &mut self.taken, &mut self.served]
            .into_iter()
            .zip(learnt.rates)
        {
            rate.set_per_s(self.now, per_s);
        }
        for told in &learnt.servers {
            let Some(s) = self.servers.get_mut(&EndpointId(told.id)) else {
                continue;
            };
            if s.entry.started == told.started {
                s.latency = Mean::of(told.latency);
                (s.hits, s.limit, s.strikes, s.turned) =
                    (told.hits, told.limit, told.strikes, told.turned);
                // The other process's clock may have begun while the machine's was off: no time of its goes further
                // than one of ours could.
                let until = told
                    .suspect_until
                    .map(|until| until.min(self.now.saturating_add(BACKOFF_MAX)));
                (s.suspect_until, s.proven) = (until, told.proven);
                s.backoff = told.backoff.clamp(BACKOFF, BACKOFF_MAX);
                (s.cold_budget, s.cold_budget_at) =
                    (told.cold_budget, told.cold_budget_at.min(self.now));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
