//! The sweep: clients that are done, stuck, gone or silent are looked for several times a second.

use super::*;

impl RespListener {
    /// Looks for clients that take nothing of what they are owed, say nothing or nothing whole, or are done, and tries
    /// the door again after an error.
    pub fn sweep(&mut self, now: Nanos, events: &mut Vec<ListenerEvent>, counters: &mut Counters) {
        self.close_stuck(now, events, counters);
        self.close_gone(now, events, counters);
        self.close_unfinished(now, events, counters);
        self.close_idle(now, events, counters);
        // Also at the limit: connections that were at work when the door was shut may be idle by now, and a
        // newcomer would wait for good if only a client's leaving could open it again.
        self.pause(false);
    }

    /// The connections of which this is so.
    fn those(&self, is_so: impl Fn(&ClientConnection) -> bool) -> Vec<u64> {
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
        for number in self.those(|c| c.unsent() > 0 && now.saturating_sub(c.active) > STUCK) {
            self.remove(number, counters, events);
        }
    }

    /// Where nothing is read, for too much is owed or too much has come, no read shows the end.
    fn close_gone(&mut self, now: Nanos, events: &mut Vec<ListenerEvent>, counters: &mut Counters) {
        let gone = self.those(|c| match c.leaves {
            Some(until) => now >= until || has_ended(c.stream.socket()),
            None => !c.is_read() && has_ended(c.stream.socket()),
        });
        for number in gone {
            let waits = |c: &ClientConnection| c.leaves.is_none() && !c.places.is_empty();
            counters.left_unread += u64::from(self.connections.get(&number).is_some_and(waits));
            self.remove(number, counters, events);
        }
    }

    /// A client that says nothing, or half a command, must hold neither place nor memory for good.
    fn close_unfinished(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let unfinished = self.those(|c| {
            !(c.spoken && c.input.is_empty())
                && c.takes_commands()
                && c.places.is_empty()
                && now.saturating_sub(c.since) >= UNFINISHED
                // What has come but is not read yet may end it.
                && is_silent(c.stream.socket())
        });
        for number in unfinished {
            counters.clients_unfinished += 1;
            if let Some(c) = self
                .connections
                .get_mut(&number)
                .filter(|c| !c.input.is_empty())
            {
                c.places.push_back(Place::Answered(error(
                    "ERR the command did not end in time",
                )));
                c.input = Vec::new();
                c.last = true;
                self.flush(number, now, events, counters);
            } else {
                self.leave(number, now, counters, events);
            }
        }
    }

    fn close_idle(&mut self, now: Nanos, events: &mut Vec<ListenerEvent>, counters: &mut Counters) {
        let stay = self
            .connections
            .values()
            .filter(|c| c.leaves.is_none())
            .count();
        let crowded = stay > self.most / 2;
        let most = match (self.stance.closes_idle, crowded) {
            (true, _) => IDLE_CLOSING,
            (false, true) => IDLE_CROWDED,
            (false, false) => IDLE,
        };
        let is_idle_for = |c: &ClientConnection, least: Nanos| {
            c.is_idle() && now.saturating_sub(c.active) >= least && is_silent(c.stream.socket())
        };
        let mut done = self.those(|c| is_idle_for(c, most));
        let beyond = stay
            .saturating_sub(done.len())
            .saturating_sub(self.most * CROWD / 100);
        if beyond > 0 {
            let idle = |c: &ClientConnection| c.spoken && is_idle_for(c, IDLE_LEAST);
            let idle = self
                .connections
                .iter()
                .filter(|(n, c)| idle(c) && !done.contains(n));
            let mut idle: Vec<(Nanos, u64)> = idle.map(|(n, c)| (c.active, *n)).collect();
            idle.sort_unstable();
            done.extend(idle.into_iter().take(beyond).map(|(_, number)| number));
        }
        for number in done {
            counters.clients_idle += 1;
            self.leave(number, now, counters, events);
        }
    }
}
