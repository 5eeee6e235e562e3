//! What is decided by time alone, ten times a second: suspicion of silent caches, limits that fade, idle connections that are
//! closed. It goes through all caches once.

use super::*;

/// What one pass over the caches gathers.
#[derive(Default)]
struct Gathered {
    /// Mean latencies of caches that take requests.
    latencies: Vec<f64>,
    /// The summed weight of the same, cold ones at their present share.
    ready_weight: f64,
    /// Caches that take requests, origins included, and are suspected or turn much away.
    suspects: usize,
    /// Caches with nothing out and perhaps a connection, and since when.
    idle: Vec<(Nanos, EndpointId)>,
}

impl Engine {
    pub(super) fn housekeeping(&mut self) {
        self.timer(HOUSEKEEPING, Timer::Housekeeping);
        // Out of the table meanwhile: a look-up for each step would cost more than the steps.
        let mut servers = std::mem::take(&mut self.servers);
        let gathered = self.pass_over(&mut servers);
        self.servers = servers;
        self.close_idle(gathered.idle);
        self.usual = middle(gathered.latencies.into_iter()).unwrap_or(f64::MAX / SLOW);
        self.ready_weight = gathered.ready_weight;
        // Half the fleet may be cut off with a zone; beyond that the fault is ours or everybody's: fail open.
        self.suspicion_void = gathered.suspects as f64 > VOID_SHARE * self.servers.len() as f64;
        self.release_held();
    }

    fn pass_over(&mut self, servers: &mut BTreeMap<EndpointId, Server>) -> Gathered {
        let mut gathered = Gathered::default();
        let overdue = self.overdue();
        let least = self.start_limit(1.0);
        let enough = self.strikes_enough();
        for (id, s) in servers {
            let unheard =
                |sent: Nanos| sent >= s.last_answer && self.now.saturating_sub(sent) > overdue;
            let silent = s.out.iter().filter(|o| unheard(o.0)).count();
            let due = s.suspect_until.is_some_and(|until| self.now >= until) && !s.proven;
            if due
                && self.settings.capabilities.health_checks
                && s.entry.state == EndpointState::Active
            {
                self.actions.push(Action::HealthCheck(*id));
                s.suspect_until = Some(self.now + BACKOFF_MAX);
            }
            // Unused room must not let a surge in before latency tells; a limit cut low gets its start back.
            if (s.out.len() as f64) < s.limit / 2.0 {
                s.limit = (s.limit * LIMIT_FADE).max(least);
            }
            s.turned *= TURNED_FADE;
            s.latency
                .fade(if s.out.is_empty() { TURNED_FADE } else { 1.0 });
            self.suspect_beyond(enough, *id, s, silent as f64);
            self.gather(&mut gathered, *id, s);
        }
        gathered
    }

    fn gather(&self, gathered: &mut Gathered, id: EndpointId, s: &Server) {
        gathered.idle.extend(s.idle_since.map(|since| (since, id)));
        if s.entry.state != EndpointState::Active {
            return;
        }
        gathered.suspects += usize::from(s.suspect_until.is_some() || s.turned > CALM);
        if !self.is_origin(&s.entry) {
            gathered
                .latencies
                .extend(Some(s.latency.now).filter(|latency| *latency > 0.0));
            gathered.ready_weight += self.weight(&s.entry) * self.ramp(s);
        }
    }

    /// Hundreds of routers would fill a server's table with connections that they hardly ever use again.
    pub(super) fn close_idle(&mut self, mut idle: Vec<(Nanos, EndpointId)>) {
        let keep =
            (IDLE_CONNECTIONS * self.servers.len() / self.settings.balancers.max(1)).min(IDLE_MOST);
        let beyond = idle.len().saturating_sub(keep);
        if beyond == 0 {
            return;
        }
        idle.retain(|(since, _)| self.now.saturating_sub(*since) >= IDLE_LEAST);
        idle.sort_unstable();
        for (_, id) in idle.into_iter().take(beyond) {
            self.actions.push(Action::CloseIdleConnections(id));
            self.servers.entry(id).and_modify(|s| s.idle_since = None);
        }
    }
}
