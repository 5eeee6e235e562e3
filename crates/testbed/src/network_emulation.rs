//! Emulation of a faulty network between real processes on loopback addresses.

pub mod datagram_proxy;
pub mod faults;
pub mod stream_proxy;
