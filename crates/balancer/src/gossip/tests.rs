//! Tests of `fleet`.

use super::*;

#[test]
fn traffic_is_told_to_two_figures() {
    for (tenths, told) in [(0, 0), (7, 7), (99, 99), (123, 120), (98_765, 98_000)] {
        assert_eq!(rounded(tenths), told);
    }
}
