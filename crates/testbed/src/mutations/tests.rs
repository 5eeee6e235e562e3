//! Tests of `mutations`.

use super::*;

#[test]
fn each_injected_fault_has_an_existing_trial() {
    for (fault, name) in InjectedFault::ALL {
        let trial = DETECTING_TRIALS
            .iter()
            .find(|(f, _)| *f == fault)
            .unwrap_or_else(|| panic!("{name}"))
            .1;
        let known = crate::scenario_catalog::names().chain(trials::TRIALS.iter().map(|(n, _)| *n));
        assert!(known.into_iter().any(|n| n == trial), "{trial}");
    }
}

#[test]
fn the_simulation_trials_pass() {
    for (name, trial) in trials::TRIALS {
        assert_eq!(trial(1), Ok(()), "{name}");
    }
}
