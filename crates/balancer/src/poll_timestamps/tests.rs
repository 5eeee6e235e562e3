//! Polls that come in time, late and not at all.

use super::*;

impl PollTimestamps {
    /// As if a look had just been made, and none had been late.
    pub(crate) fn prompt(&mut self, now: Nanos) {
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
fn what_a_prompt_look_reports_has_come_just_now() {
    let mut looks = PollTimestamps::start(START);
    assert_eq!(looks.waited(at(1), at(21), true), 0);
    assert_eq!((looks.quiet(), looks.arrived()), (at(21), at(21)));
    assert_eq!(looks.waited(at(22), at(52), true), 0);
    assert_eq!(
        (looks.quiet(), looks.arrived(), looks.lost()),
        (at(52), at(52), 0)
    );
    assert!(
        PollTimestamps::is_fresh(looks.quiet(), at(77))
            && !PollTimestamps::is_fresh(looks.quiet(), at(78))
    );
}

#[test]
fn behind_a_long_turn_or_a_long_wait_it_may_have_come_right_after_the_look_before() {
    let mut looks = PollTimestamps::start(START);
    assert_eq!(
        looks.waited(at(650), at(650), true),
        650 * MS,
        "the turn was long"
    );
    assert_eq!((looks.quiet(), looks.arrived()), (at(650), START));
    assert_eq!(
        looks.waited(at(660), at(1_330), true),
        640 * MS,
        "the wait was longer than asked for"
    );
    assert_eq!(
        (looks.quiet(), looks.arrived()),
        (at(660), at(650)),
        "and may have looked at its beginning"
    );
    assert_eq!(looks.waited(at(1_331), at(1_331), true), 0);
    assert_eq!((looks.quiet(), looks.arrived()), (at(1_331), at(660)));
    assert_eq!(looks.waited(at(1_332), at(1_333), true), 0);
    assert_eq!(
        (looks.quiet(), looks.arrived(), looks.lost()),
        (at(1_333), at(1_333), 1_290 * MS)
    );
}

#[test]
fn a_wait_that_a_signal_cuts_short_is_no_look() {
    let mut looks = PollTimestamps::start(START);
    looks.waited(at(1), at(2), true);
    looks.waited(at(3), at(653), false);
    assert_eq!((looks.quiet(), looks.arrived()), (at(2), at(2)));
    looks.waited(at(654), at(654), true);
    assert_eq!((looks.quiet(), looks.arrived()), (at(654), at(2)));
}

#[test]
fn a_connection_was_there_at_the_last_look_unless_it_is_not_looked_at() {
    let mut looks = PollTimestamps::start(START);
    looks.waited(at(10), at(10), true);
    let mut presence = ClientPresence::accepted(&looks, at(4));
    assert_eq!(presence.seen(&looks, true), at(4));
    looks.waited(at(20), at(20), true);
    assert_eq!(
        presence.seen(&looks, true),
        at(20),
        "a look that did not report its end"
    );
    assert_eq!(presence.seen(&looks, false), at(4), "it was not watched");
    assert_eq!(
        presence.read(&looks, false),
        at(4),
        "it may have waited at the listener"
    );
    assert_eq!(
        presence.seen(&looks, true),
        at(4),
        "behind what was read there may be an end"
    );
    looks.waited(at(30), at(30), true);
    assert_eq!(presence.read(&looks, true), at(30));
    assert_eq!(presence.read_in_turn(&looks), Some(at(30)));
    looks.waited(at(40), at(40), true);
    assert_eq!(presence.read_in_turn(&looks), None);
    assert_eq!(
        presence.read(&looks, false),
        at(30),
        "not all was read before"
    );
    looks.waited(at(50), at(50), true);
    looks.waited(at(60), at(60), true);
    assert_eq!(presence.read(&looks, false), at(60));
    presence.is_there(at(61));
    assert_eq!(presence.seen(&looks, false), at(61));
}
