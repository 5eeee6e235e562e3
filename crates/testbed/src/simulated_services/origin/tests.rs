//! Tests of `origin`.

use super::*;

#[test]
fn slots_are_limited_and_waiting_requests_time_out() {
    let options = OriginOptions {
        slots: 1,
        service_time: Duration::from_millis(200),
        timeout: Duration::from_millis(1),
    };
    let origin = Origin::new(options);
    let other = origin.clone();
    let first = std::thread::spawn(move || other.process_request());
    while origin.counts().0 == 0 {
        std::thread::yield_now();
    }
    assert!(
        !origin.process_request(),
        "the request times out while the only slot is occupied"
    );
    assert!(first.join().unwrap());
    assert_eq!(origin.counts(), (1, 1));
    assert!(origin.process_request());
}
