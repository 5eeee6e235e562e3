//! Who a member is, and how its older selves are told from it.

use crate::fault_injection::{self, InjectedFault};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// A member: the address it is reached at, and which of its lives this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Where the others send datagrams.
    pub address: SocketAddr,
    /// Unix time in milliseconds of its start, raised by one with each return from a false death: the greater wins.
    pub generation: u64,
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
        if fault_injection::is_injected(InjectedFault::PrefersOlderGeneration) {
            return self.generation < adversary.generation;
        }
        self.generation > adversary.generation
    }
}

/// The greatest generation that anybody has named for this address. It is more than one's own where the clock was
/// stepped back between two starts; returning by steps of one would take as many returns as milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Named(Rc<Cell<u64>>);

impl Named {
    pub(crate) fn get(&self) -> u64 {
        self.0.get()
    }

    pub(crate) fn note(&self, generation: u64) {
        self.0.set(self.0.get().max(generation));
    }
}

/// The addresses that the membership holds. What a datagram says of others is left once there are enough of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held(Rc<RefCell<BTreeSet<SocketAddr>>>);

impl Held {
    pub(crate) fn set(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let mut held = self.0.borrow_mut();
        held.clear();
        held.extend(addresses);
    }

    pub(crate) fn insert(&self, address: SocketAddr) {
        self.0.borrow_mut().insert(address);
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        self.0.borrow_mut().remove(&address);
    }

    /// A place for this address, if there is one.
    pub(crate) fn admit(&self, address: SocketAddr, most: usize) -> Result<(), ()> {
        let mut held = self.0.borrow_mut();
        if held.contains(&address) || held.len() < most {
            held.insert(address);
            return Ok(());
        }
        Err(())
    }
}

/// `postcard`, which also notes what is said of the own address.
pub(crate) struct Wire {
    own: SocketAddr,
    named: Named,
    held: Held,
    members_max: usize,
    /// Who sent the datagram that is read.
    from: Option<SocketAddr>,
    inner: foca::PostcardCodec,
}

impl Wire {
    pub(crate) fn new(own: SocketAddr, named: Named, held: Held, members_max: usize) -> Self {
        Wire {
            own,
            named,
            held,
            members_max,
            from: None,
            inner: foca::PostcardCodec,
        }
    }

    fn note(&self, id: &Identity) {
        if id.address == self.own {
            self.named.note(id.generation);
        }
    }
}

impl foca::Codec<Identity> for Wire {
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
        self.note(&header.dst);
        self.from = Some(header.src.address);
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
        self.note(&id);
        if id.address == self.own {
            if member.state() == foca::State::Suspect
                && fault_injection::is_injected(InjectedFault::NeverRefutes)
            {
                return Ok(foca::Member::alive(id));
            }
            return Ok(member);
        }
        match self.held.admit(id.address, self.members_max) {
            Ok(()) => Ok(member),
            // An older life of the sender, which counts as there by its datagram, says nothing; the other news counts.
            Err(()) => {
                let address = self.from.unwrap_or(id.address);
                Ok(foca::Member::alive(Identity {
                    address,
                    generation: 0,
                }))
            }
        }
    }
}
