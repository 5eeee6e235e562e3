//! Fronts: each speaks one protocol with clients and hands [`Incoming`](crate::request::Incoming) requests in.

pub mod resp;
