//! The doors: RESP for clients, HTTP for the operators' calls.

pub mod admin;
pub mod resp;

use crate::timers::MS;
use routing::Nanos;

/// Who is sent nothing more has this long to take what it was answered and to close: a far one needs a round trip, a slow
/// one some more.
const LEAVE: Nanos = 1_000 * MS;
