//! The testbed: many balancers, injected faults between them, and checks by invariants.
//!
//! [`simulation`] runs the `membership` crate alone in virtual time. Everything else starts real
//! processes of the built program on loopback addresses: [`cluster`] lays them out, [`scenario`]
//! says what happens to them, [`scenario_runner`] makes it happen, and [`invariants`] compares what
//! was observed with what is true. [`soak`] does the same with faults drawn from a seed. [`hollow`]
//! runs the control plane without data traffic.
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
