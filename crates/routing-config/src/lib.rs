//! The operators' settings in JSON, as they stand on the simulator's wire and in a balancer's
//! configuration alike, and their translation into the settings of the decision module.
//!
//! [`operator_settings`](OperatorSettings) names the JSON keys, [`TranslatedSettings`] is what they
//! become, and [`parse_load_report`] reads the load reports whose columns the settings name.
#![forbid(unsafe_code)]

mod load_report;
mod operator_settings;
mod translation;

pub use load_report::parse_load_report;
pub use operator_settings::OperatorSettings;
pub use translation::{
    NameTables, TranslatedSettings, TranslationError, TransportSettings, operator_key,
};
