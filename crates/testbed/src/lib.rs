//! The testbed runs trials of many balancers with injected faults and checks invariants.
//!
//! [`simulation`] runs the `membership` crate alone in virtual time. [`cluster`], [`scenario`],
//! [`scenario_runner`] and [`invariants`] test real processes of the built program on loopback
//! addresses: a cluster holds the processes, a scenario lists the faults by time, the runner
//! injects them, and the invariants compare what members and clients observed with the injected
//! state.
//! [`soak`] tests real processes with faults that are randomly generated from a seed. [`hollow`]
//! runs the control plane over real sockets without data traffic.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod chart;
pub mod cluster;
pub mod decisions;
pub mod error;
pub mod hollow;
pub mod invariants;
pub mod member_process;
pub mod mutations;
pub mod network_emulation;
pub mod overload_metrics;
pub mod process;
pub mod scenario;
pub mod scenario_catalog;
pub mod scenario_runner;
pub mod simulated_services;
pub mod simulation;
pub mod slopes;
pub mod soak;
pub mod stall;
