//! The sweep: clients that are done, stuck, gone or silent are looked for several times a second.

use super::*;

impl RespListener {
    /// Looks for clients that take nothing of what they are owed, say nothing or nothing whole, or are done, and tries
    /// the door again after an error.
    pub fn reap(&mut self, now: Nanos, events: &mut Vec<ListenerEvent>, counters: &mut Counters) {
        self.close_stuck(now, events, counters);
        self.close_disconnected(now, events, counters);
        self.close_unfinished(now, events, counters);
        self.close_idle(now, events, counters);
        // Also at the limit: connections that were at work when the door was shut may be idle by now, and a
        // newcomer would wait for good if only a client's leaving could open it again.
        self.set_accept_paused(false);
    }

    /// The connections of which this is so.
    fn matching(&self, is_so: impl Fn(&ClientConnection) -> bool) -> Vec<u64> {
        self.connections
            .iter()
            .filter(|(_, c)| is_so(c))
            .map(|(number, _)| *number)
            .collect()
    }

    fn close_stuck(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        for number in
            self.matching(|c| c.unsent_bytes() > 0 && now.saturating_sub(c.last_active) > STUCK)
        {
            self.close(number, counters, events);
        }
    }

    /// Where nothing is read, for too much is owed or too much has come, no read shows the end.
    fn close_disconnected(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let gone = self.matching(|c| match c.close_by {
            Some(until) => now >= until || has_peer_closed(c.stream.socket()),
            None => !c.is_read() && has_peer_closed(c.stream.socket()),
        });
        for number in gone {
            let waits = |c: &ClientConnection| c.close_by.is_none() && !c.responses.is_empty();
            counters.left_unread += u64::from(self.connections.get(&number).is_some_and(waits));
            self.close(number, counters, events);
        }
    }

    /// A client that says nothing, or half a command, must hold neither place nor memory for good.
    fn close_unfinished(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let unfinished = self.matching(|c| {
            !(c.has_sent_command && c.input.is_empty())
                && c.takes_commands()
                && c.responses.is_empty()
                && now.saturating_sub(c.command_since) >= UNFINISHED
                // What has come but is not read yet may end it.
                && is_open_without_input(c.stream.socket())
        });
        for number in unfinished {
            counters.clients_unfinished += 1;
            if let Some(c) = self
                .connections
                .get_mut(&number)
                .filter(|c| !c.input.is_empty())
            {
                c.responses.push_back(PendingResponse::Answered(error(
                    "ERR the command did not end in time",
                )));
                c.input = Vec::new();
                c.closes_after_output = true;
                self.flush(number, now, events, counters);
            } else {
                self.close_gracefully(number, now, counters, events);
            }
        }
    }

    fn close_idle(&mut self, now: Nanos, events: &mut Vec<ListenerEvent>, counters: &mut Counters) {
        let stay = self
            .connections
            .values()
            .filter(|c| c.close_by.is_none())
            .count();
        let crowded = stay > self.connections_max / 2;
        let most = match (self.policy.closes_idle, crowded) {
            (true, _) => IDLE_CLOSING,
            (false, true) => IDLE_CROWDED,
            (false, false) => IDLE,
        };
        let is_idle_for = |c: &ClientConnection, least: Nanos| {
            c.is_idle()
                && now.saturating_sub(c.last_active) >= least
                && is_open_without_input(c.stream.socket())
        };
        let mut done = self.matching(|c| is_idle_for(c, most));
        let beyond = stay
            .saturating_sub(done.len())
            .saturating_sub(self.connections_max * CROWD / 100);
        if beyond > 0 {
            let idle = |c: &ClientConnection| c.has_sent_command && is_idle_for(c, IDLE_LEAST);
            let idle = self
                .connections
                .iter()
                .filter(|(n, c)| idle(c) && !done.contains(n));
            let mut idle: Vec<(Nanos, u64)> = idle.map(|(n, c)| (c.last_active, *n)).collect();
            idle.sort_unstable();
            done.extend(idle.into_iter().take(beyond).map(|(_, number)| number));
        }
        for number in done {
            counters.clients_idle += 1;
            self.close_gracefully(number, now, counters, events);
        }
    }
}
