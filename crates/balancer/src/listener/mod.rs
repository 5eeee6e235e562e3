//! The listeners: RESP for clients, HTTP for admin requests.

pub mod admin;
pub mod resp;

use crate::timers::MS;
use routing::Nanos;

/// Maximum time between the shutdown of the sending side of a connection and its close. During this
/// time the peer can read its last response and close the connection. A distant peer needs a round
/// trip for that, and a slow peer needs more.
const CLOSE_TIMEOUT: Nanos = 1_000 * MS;
