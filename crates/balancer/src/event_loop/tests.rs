//! Events that cross, on real connections: each test says which sockets the event loop processes in
//! one turn and in which order, whatever the kernel and the clock make of it.

mod deadlines;
mod disconnects;
mod discovery;
mod dispatch;
mod harness;
mod hedges;
mod hot_restart;
mod retries;
mod shutdown;
