//! Order in which timers expire.

use super::*;

#[test]
fn timers_expire_when_due_and_in_order() {
    let mut timers = Timers::default();
    timers.set(20, TimerKind::ReapIdle);
    timers.set(10, TimerKind::Connect(1));
    timers.set(10, TimerKind::Connect(0));
    assert_eq!(timers.pop_expired(9), None);
    assert_eq!(timers.time_to_next(4), Some(Duration::from_nanos(6)));
    assert_eq!(
        [timers.pop_expired(10), timers.pop_expired(10)],
        [Some(TimerKind::Connect(1)), Some(TimerKind::Connect(0))]
    );
    assert_eq!(
        [timers.pop_expired(19), timers.pop_expired(30)],
        [None, Some(TimerKind::ReapIdle)]
    );
    timers.set(40, TimerKind::HealthCheck(1));
    timers.set(50, TimerKind::HealthCheck(2));
    timers.set(60, TimerKind::HealthCheck(1));
    timers.cancel(TimerKind::HealthCheck(2));
    assert_eq!(
        [
            timers.pop_expired(59),
            timers.pop_expired(60),
            timers.pop_expired(99)
        ],
        [None, Some(TimerKind::HealthCheck(1)), None]
    );
    assert!(timers.queue.is_empty() && timers.positions.is_empty());
}
