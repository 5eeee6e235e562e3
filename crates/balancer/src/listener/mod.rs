//! Listeners: RESP for clients, HTTP for admin calls.

pub mod admin;
pub mod resp;

use crate::timers::MS;
use routing::Nanos;

/// How long a peer that is sent nothing more has to read its last answer and to close: a distant
/// one needs a round trip, a slow one some more.
const CLOSE_TIMEOUT: Nanos = 1_000 * MS;
