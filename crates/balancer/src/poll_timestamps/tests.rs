//! Prompt, delayed and interrupted polls.

use super::*;

impl PollTimestamps {
    /// Sets the timestamps as if a poll had just returned and the process had never stalled.
    pub(crate) fn record_prompt_poll(&mut self, now: Nanos) {
        *self = PollTimestamps {
            count: self.count + 1,
            ..PollTimestamps::start(now)
        };
    }
}

const START: Nanos = 1_000 * MS;

fn at(ms: u64) -> Nanos {
    START + ms * MS
}

#[test]
fn input_reported_by_a_prompt_poll_has_just_arrived() {
    let mut polls = PollTimestamps::start(START);
    assert_eq!(polls.record_poll(at(1), at(21), PollOutcome::Completed), 0);
    assert_eq!(
        (polls.last_poll(), polls.earliest_arrival()),
        (at(21), at(21))
    );
    assert_eq!(polls.record_poll(at(22), at(52), PollOutcome::Completed), 0);
    assert_eq!(
        (
            polls.last_poll(),
            polls.earliest_arrival(),
            polls.total_stall()
        ),
        (at(52), at(52), 0)
    );
    assert!(
        PollTimestamps::is_fresh(polls.last_poll(), at(77))
            && !PollTimestamps::is_fresh(polls.last_poll(), at(78))
    );
}

#[test]
fn input_after_a_long_turn_or_wait_may_have_arrived_right_after_the_previous_poll() {
    let mut polls = PollTimestamps::start(START);
    assert_eq!(
        polls.record_poll(at(650), at(650), PollOutcome::Completed),
        650 * MS,
        "the turn stalled"
    );
    assert_eq!(
        (polls.last_poll(), polls.earliest_arrival()),
        (at(650), START)
    );
    assert_eq!(
        polls.record_poll(at(660), at(1_330), PollOutcome::Completed),
        640 * MS,
        "the wait exceeded its maximum"
    );
    assert_eq!(
        (polls.last_poll(), polls.earliest_arrival()),
        (at(660), at(650)),
        "the wait may have checked the sockets at its beginning"
    );
    assert_eq!(
        polls.record_poll(at(1_331), at(1_331), PollOutcome::Completed),
        0
    );
    assert_eq!(
        (polls.last_poll(), polls.earliest_arrival()),
        (at(1_331), at(660))
    );
    assert_eq!(
        polls.record_poll(at(1_332), at(1_333), PollOutcome::Completed),
        0
    );
    assert_eq!(
        (
            polls.last_poll(),
            polls.earliest_arrival(),
            polls.total_stall()
        ),
        (at(1_333), at(1_333), 1_290 * MS)
    );
}

#[test]
fn interrupted_wait_does_not_count_as_a_poll() {
    let mut polls = PollTimestamps::start(START);
    polls.record_poll(at(1), at(2), PollOutcome::Completed);
    polls.record_poll(at(3), at(653), PollOutcome::Interrupted);
    assert_eq!(
        (polls.last_poll(), polls.earliest_arrival()),
        (at(2), at(2))
    );
    polls.record_poll(at(654), at(654), PollOutcome::Completed);
    assert_eq!(
        (polls.last_poll(), polls.earliest_arrival()),
        (at(654), at(2))
    );
}

#[test]
fn client_is_known_connected_at_the_last_poll_only_if_polled_for_reading() {
    let mut polls = PollTimestamps::start(START);
    polls.record_poll(at(10), at(10), PollOutcome::Completed);
    let mut presence = ClientPresence::accepted(&polls, at(4));
    assert_eq!(presence.last_seen(&polls), at(4));
    polls.record_poll(at(20), at(20), PollOutcome::Completed);
    assert_eq!(
        presence.last_seen(&polls),
        at(20),
        "the poll did not report the end of the connection"
    );
    assert_eq!(
        presence.last_confirmed(),
        at(4),
        "a connection that is not polled for reading is not confirmed by a poll"
    );
    assert_eq!(
        presence.record_read(&polls, ReadExtent::All),
        at(4),
        "the input may have arrived while the connection was in the backlog"
    );
    assert_eq!(
        presence.last_seen(&polls),
        at(4),
        "the end of the connection may be behind the input that was read"
    );
    polls.record_poll(at(30), at(30), PollOutcome::Completed);
    assert_eq!(presence.record_read(&polls, ReadExtent::Partial), at(30));
    assert_eq!(presence.arrival_in_turn(&polls), Some(at(30)));
    polls.record_poll(at(40), at(40), PollOutcome::Completed);
    assert_eq!(presence.arrival_in_turn(&polls), None);
    assert_eq!(
        presence.record_read(&polls, ReadExtent::All),
        at(30),
        "the input may be left over from the partial read"
    );
    polls.record_poll(at(50), at(50), PollOutcome::Completed);
    polls.record_poll(at(60), at(60), PollOutcome::Completed);
    assert_eq!(presence.record_read(&polls, ReadExtent::All), at(60));
    presence.confirm(at(61));
    assert_eq!(presence.last_confirmed(), at(61));
}
