//! The listeners: RESP for clients, HTTP for admin requests.

pub mod admin;
pub mod resp;

use crate::timers::MS;
use routing::Nanos;

/// Maximum time between the shutdown of the sending side of a connection and its close. In this
/// time the peer reads its last response and closes the connection; a distant peer needs a round
/// trip for that, a slow one more.
const CLOSE_TIMEOUT: Nanos = 1_000 * MS;
