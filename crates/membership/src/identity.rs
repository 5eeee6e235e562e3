//! Who a member is, and how a restarted member is told from its former processes.

use crate::fault_injection::{InjectedFault, is_injected};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// A member: the address it is reached at, and its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Where the others send datagrams.
    pub address: SocketAddr,
    /// Unix time in milliseconds of its start, raised by one with each rejoin after a false death;
    /// the greater wins.
    pub generation: u64,
}

impl Identity {
    /// The identity by which a member of unknown generation is announced to.
    pub(crate) fn of_unknown_generation(address: SocketAddr) -> Self {
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

/// The greatest generation that anybody reported for the own address. It exceeds the own generation
/// where the clock was stepped back between two starts; rejoining by steps of one would then take
/// as many rejoins as milliseconds.
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

/// The addresses of the membership, of bounded number. Entries of others are ignored once it is
/// full.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownAddresses(Rc<RefCell<BTreeSet<SocketAddr>>>);

impl KnownAddresses {
    pub(crate) fn replace(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let mut known = self.0.borrow_mut();
        known.clear();
        known.extend(addresses);
    }

    pub(crate) fn insert(&self, address: SocketAddr) {
        self.0.borrow_mut().insert(address);
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        self.0.borrow_mut().remove(&address);
    }

    /// Adds an address if it is known or there is capacity; whether it is known then.
    #[must_use]
    pub(crate) fn admit(&self, address: SocketAddr, capacity: usize) -> bool {
        let mut known = self.0.borrow_mut();
        let admitted = known.contains(&address) || known.len() < capacity;
        if admitted {
            known.insert(address);
        }
        admitted
    }
}

/// The `postcard` codec, which also observes the generations reported for the own address and
/// bounds the membership.
pub(crate) struct MembershipCodec {
    own: SocketAddr,
    observed_generation: ObservedGeneration,
    known_addresses: KnownAddresses,
    members_max: usize,
    /// The sender of the datagram that is decoded.
    sender: Option<SocketAddr>,
    inner: foca::PostcardCodec,
}

impl MembershipCodec {
    pub(crate) fn new(
        own: SocketAddr,
        observed_generation: ObservedGeneration,
        known_addresses: KnownAddresses,
        members_max: usize,
    ) -> Self {
        MembershipCodec {
            own,
            observed_generation,
            known_addresses,
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
        if self.known_addresses.admit(id.address, self.members_max) {
            return Ok(member);
        }
        // An update of an older generation of the sender has no effect; the other updates of the
        // datagram count.
        let address = self.sender.unwrap_or(id.address);
        Ok(foca::Member::alive(Identity::of_unknown_generation(
            address,
        )))
    }
}
