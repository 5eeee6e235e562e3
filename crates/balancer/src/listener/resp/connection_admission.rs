//! The door: who is let in, and who is closed for them.

use super::*;

impl RespListener {
    /// Takes the clients that wait at the door.
    pub fn accept(&mut self, now: Nanos, counters: &mut Counters) {
        if self.policy.listener_mode.is_left_to_other_process() {
            return;
        }
        // Who is taken now may have waited since then, unless none was left when the listener was last served.
        let waited_since = self
            .poll_timestamps
            .arrived()
            .min(self.backlog_since.unwrap_or(Nanos::MAX));
        self.backlog_since = Some(waited_since);
        for _ in 0..ACCEPT_MAX {
            if self.connections.len() >= self.connections_max && !self.evict_one(now, counters) {
                // All are at work: whoever comes waits in the listener's queue until one is done. Taking it
                // would use up the descriptors that peers and discovery need.
                return self.set_accept_paused(true);
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener.socket().accept() {
                Ok((stream, _)) => {
                    let number = self.next_connection;
                    let watched = stream
                        .set_nonblocking(true)
                        .and_then(|()| stream.set_nodelay(true))
                        .and_then(|()| {
                            self.poll
                                .watch(stream, EventSource::Client(number), true, false)
                        });
                    let stream = match watched {
                        Ok(stream) => stream,
                        Err(e) => {
                            log::warn!("client connection {number}: {e}");
                            continue;
                        }
                    };
                    self.next_connection += 1;
                    counters.clients_accepted += 1;
                    self.connections.insert(
                        number,
                        ClientConnection {
                            stream,
                            input: Vec::new(),
                            responses: VecDeque::new(),
                            output: Vec::new(),
                            written: 0,
                            closes_after_output: false,
                            last_active: now,
                            command_since: now,
                            has_sent_command: false,
                            close_by: None,
                            presence: ClientPresence::accepted(&self.poll_timestamps, waited_since),
                        },
                    );
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.backlog_since = None;
                    return;
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(e) => {
                    // Out of descriptors, most likely: without a pause the loop would spin on the same error.
                    log::warn!("accepting clients: {e}");
                    return self.set_accept_paused(true);
                }
            }
        }
    }

    /// Whether clients that come wait.
    pub(super) fn set_accept_paused(&mut self, pause: bool) {
        let pause = pause || self.policy.listener_mode.is_left_to_other_process();
        if let Some(listener) = &mut self.listener
            && self.accepting == pause
        {
            match listener.interest(!pause, false) {
                Ok(()) => {
                    self.accepting = !pause;
                    if pause {
                        // Nobody looks at the listener from now on.
                        self.backlog_since
                            .get_or_insert(self.poll_timestamps.quiet());
                    }
                }
                Err(e) => log::warn!("listener: {e}"),
            }
        }
    }

    /// Closes the connection that has been idle longest, if one is. One that was just taken, or on which something
    /// waits to be read, is not idle: in a rush of newcomers each would be closed for the next, its request unread. Nor is
    /// one that is still taking its last answer.
    /// Those that leave anyway go first, then those on which nothing ever came, or clients that say nothing would push
    /// out those that do.
    fn evict_one(&mut self, now: Nanos, counters: &mut Counters) -> bool {
        let mute = self
            .connections
            .values()
            .filter(|c| !c.has_sent_command && c.input.is_empty())
            .count();
        let spoken_least = if mute > self.connections_max / MUTE_PART {
            IDLE_CROWDED
        } else {
            IDLE_FULL
        };
        // In this order; whether something waits to be read or sent is asked last, for it is a system call.
        let rank = |c: &ClientConnection| {
            if c.close_by.is_some() {
                return Some(0);
            }
            let still = now.saturating_sub(c.last_active);
            if !c.is_idle() {
                (c.responses.is_empty() && !c.input.is_empty() && still >= HALF_LEAST).then_some(3)
            } else if c.has_sent_command {
                (still >= spoken_least).then_some(2)
            } else {
                (still >= MUTE_LEAST).then_some(1)
            }
        };
        let ranked = self
            .connections
            .iter()
            .filter_map(|(n, c)| Some((rank(c)?, c.last_active, *n)));
        let mut ranked: Vec<(u8, Nanos, u64)> = ranked.collect();
        ranked.sort_unstable();
        let silent = |n: &u64| {
            let stands = |c: &ClientConnection| {
                is_open_without_input(c.stream.socket()) && !has_unsent_output(c.stream.socket())
            };
            self.connections
                .get(n)
                .is_some_and(|c| c.close_by.is_some() || stands(c))
        };
        let number = ranked.into_iter().map(|(.., number)| number).find(silent);
        let Some(number) = number else { return false };
        self.close(number, counters, &mut Vec::new());
        true
    }
}
