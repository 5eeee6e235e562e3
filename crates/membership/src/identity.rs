//! Identity of a member, which distinguishes a restarted member from its previous processes.

use crate::fault_injection::{InjectedFault, is_injected};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Address and generation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Address to which other members send datagrams.
    pub address: SocketAddr,
    /// Unix time in milliseconds at which the member started, incremented by one with each rejoin
    /// after a false death. Of two identities with the same address the greater generation wins.
    pub generation: u64,
}

impl Identity {
    /// Returns the identity for sending an announcement to a member of which only the address is
    /// known.
    pub(crate) fn with_unknown_generation(address: SocketAddr) -> Self {
        Identity {
            address,
            generation: 0,
        }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Identity {
            generation: self.generation + 1,
            ..*self
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        if is_injected(InjectedFault::PrefersOlderGeneration) {
            return self.generation < adversary.generation;
        }
        self.generation > adversary.generation
    }
}

/// The greatest generation reported by any member for this member's address. It exceeds the
/// member's own generation if the clock was stepped back between two starts; rejoining in steps of
/// one would then take one rejoin per millisecond of the step.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedGeneration(Rc<Cell<u64>>);

impl ObservedGeneration {
    pub(crate) fn get(&self) -> u64 {
        self.0.get()
    }

    pub(crate) fn observe(&self, generation: u64) {
        self.0.set(self.0.get().max(generation));
    }
}

/// Addresses of the tracked members, bounded in number. Once the set is full, updates about further
/// addresses are ignored.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrackedAddresses(Rc<RefCell<BTreeSet<SocketAddr>>>);

impl TrackedAddresses {
    pub(crate) fn replace(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let mut tracked = self.0.borrow_mut();
        tracked.clear();
        tracked.extend(addresses);
    }

    pub(crate) fn insert(&self, address: SocketAddr) {
        self.0.borrow_mut().insert(address);
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        self.0.borrow_mut().remove(&address);
    }

    /// Adds an address if the set has capacity. Returns whether the address is tracked afterwards.
    #[must_use]
    pub(crate) fn admit(&self, address: SocketAddr, capacity: usize) -> bool {
        let mut tracked = self.0.borrow_mut();
        let admitted = tracked.contains(&address) || tracked.len() < capacity;
        if admitted {
            tracked.insert(address);
        }
        admitted
    }
}

/// The `postcard` codec, extended to record the generations reported for this member's address and
/// to limit the number of members.
pub(crate) struct MembershipCodec {
    own: SocketAddr,
    observed_generation: ObservedGeneration,
    tracked_addresses: TrackedAddresses,
    members_max: usize,
    /// Sender of the datagram that is being decoded.
    sender: Option<SocketAddr>,
    inner: foca::PostcardCodec,
}

impl MembershipCodec {
    pub(crate) fn new(
        own: SocketAddr,
        observed_generation: ObservedGeneration,
        tracked_addresses: TrackedAddresses,
        members_max: usize,
    ) -> Self {
        MembershipCodec {
            own,
            observed_generation,
            tracked_addresses,
            members_max,
            sender: None,
            inner: foca::PostcardCodec,
        }
    }

    fn observe(&self, id: &Identity) {
        if id.address == self.own {
            self.observed_generation.observe(id.generation);
        }
    }
}

impl foca::Codec<Identity> for MembershipCodec {
    type Error = <foca::PostcardCodec as foca::Codec<Identity>>::Error;

    fn encode_header(
        &mut self,
        header: &foca::Header<Identity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Self::Error> {
        self.inner.encode_header(header, buf)
    }

    fn decode_header(
        &mut self,
        buf: impl bytes::Buf,
    ) -> Result<foca::Header<Identity>, Self::Error> {
        let header: foca::Header<Identity> = self.inner.decode_header(buf)?;
        self.observe(&header.dst);
        self.sender = Some(header.src.address);
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Identity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Self::Error> {
        self.inner.encode_member(member, buf)
    }

    fn decode_member(
        &mut self,
        buf: impl bytes::Buf,
    ) -> Result<foca::Member<Identity>, Self::Error> {
        let member: foca::Member<Identity> = self.inner.decode_member(buf)?;
        let id = *member.id();
        self.observe(&id);
        if id.address == self.own {
            let drops_suspicion = is_injected(InjectedFault::NeverRefutes);
            return Ok(
                if drops_suspicion && member.state() == foca::State::Suspect {
                    foca::Member::alive(id)
                } else {
                    member
                },
            );
        }
        if self.tracked_addresses.admit(id.address, self.members_max) {
            return Ok(member);
        }
        // The maximum number of members is reached. The update is replaced by one about an older
        // generation of the sender, which `foca` ignores, so that the other updates of the datagram
        // still apply.
        let address = self.sender.unwrap_or(id.address);
        Ok(foca::Member::alive(Identity::with_unknown_generation(
            address,
        )))
    }
}
