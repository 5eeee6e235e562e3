//! Tests of `mutations`.

use super::*;

#[test]
fn each_mistake_has_its_trial_and_each_trial_exists() {
    for (fault, name) in InjectedFault::ALL {
        let trial = DETECTING_TRIALS
            .iter()
            .find(|(f, _)| *f == fault)
            .unwrap_or_else(|| panic!("{name}"))
            .1;
        let known = crate::scenario_catalog::names().chain(trials::ALL.iter().map(|(n, _)| *n));
        assert!(known.into_iter().any(|n| n == trial), "{trial}");
    }
}

#[test]
fn the_trials_in_virtual_time_pass() {
    for (name, trial) in trials::ALL {
        assert_eq!(trial(1), Ok(()), "{name}");
    }
}
