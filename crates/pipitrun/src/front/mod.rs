//! The doors: RESP for clients, HTTP for the operators' calls.

pub mod management;
pub mod resp;
