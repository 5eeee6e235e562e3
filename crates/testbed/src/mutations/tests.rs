//! Tests of `mutations`.

use super::*;

#[test]
fn each_injectable_fault_has_an_existing_trial() {
    for (fault, name) in InjectedFault::ALL {
        let trial = DETECTING_TRIALS
            .iter()
            .find(|(f, _)| *f == fault)
            .unwrap_or_else(|| panic!("the fault {name} has no trial"))
            .1;
        let known = crate::scenario_catalog::names().chain(trials::TRIALS.iter().map(|(n, _)| *n));
        assert!(
            known.into_iter().any(|n| n == trial),
            "no trial is called {trial}"
        );
    }
}

#[test]
fn the_virtual_time_trials_pass_without_a_fault() {
    for (name, trial) in trials::TRIALS {
        assert_eq!(trial(1), Ok(()), "{name}");
    }
}
