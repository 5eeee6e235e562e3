//! The life cycle, without I/O: it is told what happens and when, and what the doors say and do follows from it alone.

use crate::timers::MS;
use finchyard::Nanos;

/// How long client connections stay open in a drain: a front that asks ten times a second and takes 0.2 s to turn away
/// has done so by then, and whoever is sent away sooner only comes back.
const TURN_AWAY: Nanos = 400 * MS;
/// How long new connections are taken after a request to stop: they keep coming for up to 0.4 s. By the protocol what comes
/// later than this must be answered before the process is killed.
const ACCEPT_ON: Nanos = 700 * MS;

/// How long commands are taken from a connection that is to close, as long as it never stands idle: who sends without
/// end would keep it open for good. An end may leave less time.
const TAKE_ON: Nanos = 1_500 * MS;

/// By the protocol a process is killed no sooner than `ACCEPT_ON` and the longest deadline after the request to stop; a
/// deadline that is longer than this counts as this.
const DEADLINE_MOST: Nanos = 3_000 * MS;
/// All that is taken in an end is answered this long before that.
const KILL_MARGIN: Nanos = 100 * MS;

/// What becomes of those who connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// They are let in.
    Open,
    /// They wait, or go to the other process that shares the socket.
    Waits,
    /// The door is closed for good; who waits at it is let in before.
    Closed,
    /// The door is left, with those who wait at it, to the other process; for good unless that one dies meanwhile.
    Left,
}

impl Door {
    /// Nobody is let in here: who comes waits, or is the other process's.
    pub fn is_others(self) -> bool {
        matches!(self, Door::Waits | Door::Left)
    }
}

/// What follows for client connections at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stance {
    /// The state's name, as logs, operators and clients read it.
    pub state: &'static str,
    /// `PING` is answered with a yes.
    pub ready: bool,
    /// New connections are taken, or not now, or never again.
    pub door: Door,
    /// A connection is closed once nothing is owed on it.
    pub closes_idle: bool,
    /// Commands are taken from open connections.
    pub takes: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// There is no list of caches yet, or there is but what another process knows is still waited for.
    Starting {
        listed: bool,
    },
    Serving,
    /// Drained by the operators since then; whether there is a list.
    Quiesced {
        since: Nanos,
        listed: bool,
    },
    /// Asked to stop at that time.
    Ending {
        since: Nanos,
    },
}

/// Where a process stands between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifeCycle {
    state: State,
    /// The clients' socket is the platform's, and other processes may take from it.
    shared: bool,
    /// One that serves clients does so now.
    other_serves: bool,
    /// What it knows is waited for.
    waits: bool,
    /// How long after a request to stop the last answer is given.
    last_answer: Nanos,
}

/// Why a call of the operators changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict;

impl LifeCycle {
    /// A process that has just started, on a socket that is its own or shared; the longest time that a client waits for
    /// an answer.
    pub fn new(shared: bool, longest_deadline: Nanos) -> Self {
        let last_answer = longest_deadline.min(DEADLINE_MOST) + ACCEPT_ON - KILL_MARGIN;
        let state = State::Starting { listed: false };
        LifeCycle { state, shared, other_serves: false, waits: false, last_answer }
    }

    /// By when what is taken now is answered, whatever its client's patience: the process may be killed then.
    pub fn answer_by(&self) -> Option<Nanos> {
        match self.state {
            State::Ending { since } => Some(since + self.last_answer),
            _ => None,
        }
    }

    /// How long commands are taken from a connection that is to close.
    fn take_on(&self) -> Nanos {
        match self.state {
            State::Ending { .. } => TAKE_ON.min(self.last_answer),
            _ => TAKE_ON,
        }
    }

    /// Whether another process that shares the socket serves clients.
    pub fn set_other_serves(&mut self, serves: bool) {
        self.other_serves = serves;
    }

    /// What another process knows is waited for, or no longer.
    pub fn set_waits(&mut self, waits: bool) {
        self.waits = waits;
        self.settle();
    }

    /// There is a list of caches.
    pub fn listed(&mut self) {
        if let State::Starting { listed } | State::Quiesced { listed, .. } = &mut self.state {
            *listed = true;
        }
        self.settle();
    }

    fn settle(&mut self) {
        if self.state == (State::Starting { listed: true }) && !self.waits {
            self.state = State::Serving;
        }
    }

    /// The operators drain the process. Said again, it changes nothing.
    pub fn quiesce(&mut self, now: Nanos) {
        let listed = match self.state {
            State::Starting { listed } => listed,
            State::Serving => true,
            State::Quiesced { .. } | State::Ending { .. } => return,
        };
        self.state = State::Quiesced { since: now, listed };
    }

    /// The operators end the drain. An end can't be taken back: clients have been sent away for good.
    pub fn resume(&mut self) -> Result<(), Conflict> {
        match self.state {
            State::Quiesced { listed, .. } => self.state = State::Starting { listed },
            State::Starting { .. } | State::Serving => {}
            State::Ending { .. } => return Err(Conflict),
        }
        self.settle();
        Ok(())
    }

    /// The process is asked to stop. Tells whether that is news.
    pub fn stop(&mut self, now: Nanos) -> bool {
        let news = !matches!(self.state, State::Ending { .. });
        if news {
            self.state = State::Ending { since: now };
        }
        news
    }

    /// Whether `PING` and health say yes.
    pub fn is_ready(&self) -> bool {
        self.state == State::Serving
    }

    /// The state's name, as logs and operators read it.
    pub fn name(&self) -> &'static str {
        match self.state {
            State::Starting { .. } => "starting",
            State::Serving => "serving",
            State::Quiesced { .. } => "quiesced",
            State::Ending { .. } => "ending",
        }
    }

    /// What follows for client connections. In a drain new ones are taken, for the front goes on asking.
    pub fn stance(&self, now: Nanos) -> Stance {
        let theirs = self.shared && self.other_serves;
        let (door, closes_idle) = match self.state {
            // On a shared socket a client that isn't answered yet is better off with the other, or in the queue.
            State::Starting { .. } if self.shared => (Door::Waits, false),
            State::Starting { .. } | State::Serving => (Door::Open, false),
            State::Quiesced { since, .. } => {
                (if theirs { Door::Waits } else { Door::Open }, now >= since + TURN_AWAY)
            }
            State::Ending { .. } if theirs => (Door::Left, true),
            State::Ending { since } if now < since + ACCEPT_ON => (Door::Open, true),
            State::Ending { .. } => (Door::Closed, true),
        };
        let takes = self.since().is_none_or(|since| now < since + self.take_on());
        Stance { state: self.name(), ready: self.is_ready(), door, closes_idle, takes }
    }

    /// Since when clients are sent away, if they are.
    fn since(&self) -> Option<Nanos> {
        match self.state {
            State::Starting { .. } | State::Serving => None,
            State::Quiesced { since, .. } | State::Ending { since } => Some(since),
        }
    }

    /// When, if at all, something changes by time alone.
    pub fn due(&self, now: Nanos) -> Option<Nanos> {
        let since = self.since()?;
        let mut parts = [TURN_AWAY, ACCEPT_ON, self.take_on()];
        parts.sort_unstable();
        parts.into_iter().map(|part| since + part).find(|at| *at > now)
    }

    /// Whether the process may end, with or without clients connected.
    pub fn is_over(&self, now: Nanos, clients: bool) -> bool {
        matches!(self.state, State::Ending { .. })
            && matches!(self.stance(now).door, Door::Closed | Door::Left)
            && !clients
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    /// Long enough to leave all other times as they are.
    const LONGEST: Nanos = DEADLINE_MOST;

    #[derive(Clone, Copy, Debug)]
    enum Step {
        Listed,
        Quiesce,
        Resume,
        Stop,
    }

    fn play(steps: &[Step], now: Nanos) -> LifeCycle {
        let mut life = LifeCycle::new(false, LONGEST);
        for step in steps {
            match step {
                Step::Listed => life.listed(),
                Step::Quiesce => life.quiesce(now),
                Step::Resume => _ = life.resume(),
                Step::Stop => _ = life.stop(now),
            }
        }
        life
    }

    #[test]
    fn each_order_of_calls_has_its_state() {
        use Step::*;
        let cases: [(&[Step], &str, bool); 12] = [
            (&[], "starting", false),
            (&[Listed], "serving", true),
            (&[Listed, Quiesce], "quiesced", false),
            (&[Listed, Quiesce, Quiesce], "quiesced", false),
            (&[Listed, Quiesce, Resume], "serving", true),
            (&[Listed, Resume], "serving", true),
            (&[Quiesce, Listed], "quiesced", false),
            (&[Quiesce, Listed, Resume], "serving", true),
            (&[Quiesce, Resume], "starting", false),
            (&[Quiesce, Resume, Listed], "serving", true),
            (&[Listed, Quiesce, Stop, Resume], "ending", false),
            (&[Stop, Listed, Quiesce], "ending", false),
        ];
        for (steps, name, ready) in cases {
            let life = play(steps, 5);
            assert_eq!((life.name(), life.is_ready()), (name, ready), "{steps:?}");
        }
        assert_eq!(play(&[Listed, Stop], 0).resume(), Err(Conflict));
    }

    #[test]
    fn in_a_drain_connections_stay_until_the_front_has_turned_away() {
        let mut life = play(&[Step::Listed], 0);
        life.quiesce(1000);
        life.quiesce(2000);
        assert_eq!(life.due(1000), Some(1000 + TURN_AWAY), "said again it begins nothing anew");
        assert!(!life.stance(999 + TURN_AWAY).closes_idle && life.stance(1000 + TURN_AWAY).closes_idle);
        assert!(life.stance(999 + TAKE_ON).takes && !life.stance(1000 + TAKE_ON).takes);
        assert!(life.stance(u64::MAX).door == Door::Open && !life.is_over(u64::MAX, false));
        assert_eq!(life.due(1000 + TAKE_ON), None);
        life.resume().unwrap();
        let serving =
            Stance { state: "serving", ready: true, door: Door::Open, closes_idle: false, takes: true };
        assert_eq!(life.stance(u64::MAX), serving);
    }

    #[test]
    fn an_end_takes_clients_for_a_while_and_waits_for_the_last() {
        let mut life = play(&[Step::Listed], 0);
        assert!(life.stop(1000) && !life.stop(2000));
        assert!(life.stance(1000).closes_idle);
        assert_eq!(life.stance(999 + ACCEPT_ON).door, Door::Open);
        assert_eq!(life.stance(1000 + ACCEPT_ON).door, Door::Closed);
        assert!(!life.is_over(1000, false) && !life.is_over(1000 + ACCEPT_ON, true));
        assert!(life.is_over(1000 + ACCEPT_ON, false));
    }

    #[test]
    fn what_an_end_still_takes_is_answered_before_the_kill_whatever_the_deadlines() {
        for (deadline, answered, takes) in
            [(100, 700, 700), (800, 1_400, 1_400), (2_500, 3_100, 1_500), (30_000, 3_600, 1_500)]
        {
            let mut life = LifeCycle::new(false, deadline * MS);
            life.listed();
            assert_eq!(life.answer_by(), None);
            life.stop(1_000 * MS);
            assert_eq!(life.answer_by(), Some((1_000 + answered) * MS), "{deadline}");
            let takes = (1_000 + takes) * MS;
            assert!(life.stance(takes - 1).takes && !life.stance(takes).takes, "{deadline}");
            assert!(
                (0..takes).step_by(50 * MS as usize).all(|now| life.due(now).is_some_and(|due| due <= takes))
            );
            let mut drained = LifeCycle::new(false, deadline * MS);
            drained.listed();
            drained.quiesce(0);
            assert_eq!(
                (drained.answer_by(), drained.stance(TAKE_ON - 1).takes),
                (None, true),
                "nobody is killed"
            );
        }
    }

    #[test]
    fn it_is_ready_once_there_is_a_list_and_nothing_is_waited_for() {
        let mut life = LifeCycle::new(true, LONGEST);
        life.set_waits(true);
        life.listed();
        assert!(!life.is_ready());
        life.set_waits(false);
        assert!(life.is_ready());
        life.set_waits(true);
        assert!(life.is_ready(), "too late to wait");
    }

    #[test]
    fn on_a_shared_socket_the_door_is_left_to_the_one_that_serves() {
        let mut life = LifeCycle::new(true, LONGEST);
        assert_eq!(life.stance(0).door, Door::Waits, "not ready: the queue is the other's");
        life.listed();
        assert_eq!(life.stance(0).door, Door::Open);
        life.set_other_serves(true);
        assert_eq!(life.stance(0).door, Door::Open, "both serve until one is asked to stop");
        let serving = life;
        life.quiesce(0);
        assert_eq!(life.stance(0).door, Door::Waits, "the other answers");
        life = serving;
        life.stop(0);
        assert!(life.stance(0).door == Door::Left && life.is_over(0, false) && !life.is_over(0, true));
        // Killed before it could take over: whoever comes is better off here.
        life.set_other_serves(false);
        assert_eq!(life.stance(ACCEPT_ON - 1).door, Door::Open);
        assert_eq!(life.stance(ACCEPT_ON).door, Door::Closed);
        let mut alone = LifeCycle::new(false, LONGEST);
        alone.set_other_serves(true);
        alone.stop(0);
        assert_eq!(alone.stance(0).door, Door::Open, "nobody shares the socket");
    }

    proptest! {
        // The same cases every time.
        #![proptest_config(ProptestConfig {
            rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default()
        })]
        #[test]
        fn no_order_of_events_says_yes_while_sending_clients_away(
            steps in prop::collection::vec(
                prop::sample::select(vec![Step::Listed, Step::Quiesce, Step::Resume, Step::Stop]), 0..20),
            now in 0..10 * TURN_AWAY,
        ) {
            let mut life = play(&steps, 0);
            let stance = life.stance(now);
            prop_assert!(!stance.ready || !stance.closes_idle && stance.door == Door::Open && stance.takes);
            prop_assert!(stance.closes_idle || stance.door == Door::Open, "who isn't taken is not kept either");
            // From everywhere but an end a resume and a list lead back to work; from there nothing does.
            let ending = life.name() == "ending";
            life.listed();
            prop_assert_eq!(life.resume().is_err(), ending);
            prop_assert_eq!(life.is_ready(), !ending);
            life.stop(now);
            prop_assert!(life.is_over(u64::MAX, false), "an end always comes");
        }
    }
}
