//! The trial ground: many balancers, faults between them, and a referee that judges by invariants.
//!
//! [`virtual_time`] plays the `fleet` crate alone, seeded and without a machine's pace. Everything else starts real
//! processes of the built program on loopback addresses: [`ground`] lays them out, [`timeline`] tells what happens to
//! them, [`play`](mod@play) has it happen, and [`referee`] holds what was seen against what is true.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod chart;
pub mod decisions;
pub mod faults;
pub mod ground;
pub mod hollow;
pub mod member;
pub mod meter;
pub mod mutations;
pub mod play;
pub mod referee;
pub mod relay;
pub mod scenarios;
pub mod silence;
pub mod slopes;
pub mod soak;
pub mod stand_ins;
pub mod switch;
pub mod timeline;
pub mod virtual_overload;
pub mod virtual_region_trials;
pub mod virtual_regions;
pub mod virtual_time;
pub mod virtual_trials;
