//! The operators' settings in JSON, which the simulator's wire and a balancer's configuration
//! share, and their translation into the settings of the routing engine.
//!
//! [`OperatorSettings`] defines the JSON keys, [`TranslatedSettings`] is the result of the
//! translation, and [`parse_load_report`] reads load reports, whose columns the settings name.
#![forbid(unsafe_code)]

mod load_report;
mod operator_settings;
mod translation;

pub use load_report::parse_load_report;
pub use operator_settings::OperatorSettings;
pub use translation::{
    NameTables, TranslatedSettings, TranslationError, TransportSettings, operator_key,
};
