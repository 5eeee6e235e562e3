//! Who a member is, and how its older selves are told from it.

use serde::{Deserialize, Serialize};
use std::cell::Cell;
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
        Some(Identity { generation: self.generation + 1, ..*self })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        if crate::planted::is(crate::planted::Fault::BelievesOldGeneration) {
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
}

/// `postcard`, which also notes what is said of the own address.
pub(crate) struct Wire {
    own: SocketAddr,
    named: Named,
    inner: foca::PostcardCodec,
}

impl Wire {
    pub(crate) fn new(own: SocketAddr, named: Named) -> Self {
        Wire { own, named, inner: foca::PostcardCodec }
    }

    fn note(&self, id: &Identity) {
        if id.address == self.own {
            self.named.0.set(self.named.0.get().max(id.generation));
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

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<foca::Header<Identity>, Self::Error> {
        let header: foca::Header<Identity> = self.inner.decode_header(buf)?;
        self.note(&header.dst);
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Identity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Self::Error> {
        self.inner.encode_member(member, buf)
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<foca::Member<Identity>, Self::Error> {
        let member: foca::Member<Identity> = self.inner.decode_member(buf)?;
        self.note(member.id());
        Ok(member)
    }
}
