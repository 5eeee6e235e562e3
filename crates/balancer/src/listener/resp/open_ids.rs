//! Ids of open requests. A client chooses the id of a request, and the caches recognise the repeat of
//! a request by it, so a second request with the same id is rejected. An id is open from the arrival
//! of its request until the last byte of the answer is with the client, or the client has gone.

use super::connection::ClientConnection;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::id_locks::{IdLocks, LockOutcome};
use crate::poll::sockets::unsent_bytes;
use crate::request::AnswerToken;
use crate::request_ids::{IdHash, hash_id};
use routing::{Nanos, RequestId};
use std::collections::{HashMap, VecDeque};

/// Number of recorded ids of a connection from which on a further one has delivered answers looked
/// for, so that a busy connection records few ids of answered requests.
const CHECK_DELIVERY_FROM: usize = 16;

/// Position of a response among all responses of a connection.
type ResponseNumber = u64;

/// Response to which an open id belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct IdOwner {
    connection: u64,
    response: ResponseNumber,
}

/// State of the id of a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdState {
    /// No other open request has this id.
    Free,
    /// A request of a client of this process has this id.
    OpenHere,
    /// A request of a client of another process of this balancer has this id.
    OpenAtOther,
}

/// Whether the open ids are locked, so that other processes of a hot restart know them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum IdSharing {
    #[default]
    Off,
    On,
}

/// The open ids of all connections.
#[derive(Default)]
pub(super) struct OpenIds {
    owners: HashMap<IdHash, IdOwner>,
    /// Locks shared with other processes; `None` if hot restart is unavailable.
    locks: Option<IdLocks>,
    sharing: IdSharing,
}

impl OpenIds {
    /// Returns the number of recorded ids.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.owners.len()
    }

    fn set_sharing(&mut self, sharing: IdSharing) {
        if std::mem::replace(&mut self.sharing, sharing) == sharing {
            return;
        }
        let Some(locks) = &self.locks else {
            return;
        };
        match sharing {
            IdSharing::On => {
                for hash in self.owners.keys() {
                    // An id that another process has open meanwhile stays open at both.
                    let _ = locks.lock(*hash);
                }
            }
            IdSharing::Off => locks.unlock_all(),
        }
    }

    /// Returns the locks while ids are shared.
    fn shared_locks(&self) -> Option<&IdLocks> {
        self.locks
            .as_ref()
            .filter(|_| self.sharing == IdSharing::On)
    }

    /// Records an id as open, unless it is open at another process.
    fn insert(&mut self, hash: IdHash, owner: IdOwner) -> IdState {
        let lock = self.shared_locks().map(|locks| locks.lock(hash));
        if lock == Some(LockOutcome::HeldByOther) {
            return IdState::OpenAtOther;
        }
        self.owners.insert(hash, owner);
        IdState::Free
    }

    /// Removes an id unless it has been used again meanwhile.
    fn remove(&mut self, connection: u64, open_id: OpenId) {
        let owner = IdOwner {
            connection,
            response: open_id.response,
        };
        if self.owners.get(&open_id.hash) == Some(&owner) {
            self.owners.remove(&open_id.hash);
            if let Some(locks) = self.shared_locks() {
                locks.unlock(open_id.hash);
            }
        }
    }
}

/// An open id of one connection.
#[derive(Clone, Copy, Debug)]
struct OpenId {
    hash: IdHash,
    response: ResponseNumber,
    /// Position behind the answer in the output of the connection; `None` until the whole answer is
    /// in the output buffer.
    answer_end: Option<u64>,
}

/// The open ids of one connection, in the order of their responses, and the progress of its output.
#[derive(Default)]
pub(super) struct ConnectionIds {
    ids: VecDeque<OpenId>,
    /// Number of responses that were moved to the output buffer.
    responses_queued: ResponseNumber,
    /// Number of bytes that the socket has accepted.
    bytes_accepted: u64,
}

impl ConnectionIds {
    /// Records that the socket has accepted bytes.
    pub(super) fn record_accepted(&mut self, bytes: usize) {
        self.bytes_accepted += bytes as u64;
    }

    /// Records that the next response is completely in the output buffer, of which `unsent` bytes are
    /// not accepted by the socket.
    pub(super) fn record_queued(&mut self, unsent: usize) {
        let response = self.responses_queued;
        self.responses_queued += 1;
        if let Ok(index) = self.ids.binary_search_by_key(&response, |id| id.response) {
            self.ids[index].answer_end = Some(self.bytes_accepted + unsent as u64);
        }
    }

    /// Records that no response follows the output of which `unsent` bytes are not accepted.
    pub(super) fn record_end(&mut self, unsent: usize) {
        let end = self.bytes_accepted + unsent as u64;
        for id in &mut self.ids {
            id.answer_end.get_or_insert(end);
        }
    }

    /// Removes and returns the ids whose answers are with the client. `unsent` bytes of what the
    /// socket has accepted are not sent.
    fn take_delivered(&mut self, unsent: usize) -> Vec<OpenId> {
        let delivered = self.bytes_accepted.saturating_sub(unsent as u64);
        let is_delivered = |id: &OpenId| id.answer_end.is_some_and(|end| end <= delivered);
        let count = self.ids.iter().take_while(|id| is_delivered(id)).count();
        self.ids.drain(..count).collect()
    }

    fn has_complete_answer(&self) -> bool {
        let first = self.ids.front();
        first.is_some_and(|id| id.answer_end.is_some())
    }
}

impl ClientConnection {
    /// Returns the number of a pending request's response.
    fn response_number(&self, request: RequestId) -> Option<ResponseNumber> {
        let index = self
            .responses
            .iter()
            .position(|response| response.unfinished_request() == Some(request))?;
        Some(self.ids.responses_queued + index as ResponseNumber)
    }
}

impl RespListener {
    /// Records the id of a request as open if it was free. If the client of another request with this
    /// id turns out to have gone, that is reported.
    pub fn open_id(
        &mut self,
        answer_token: &AnswerToken,
        id: &[u8],
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) -> IdState {
        let hash = hash_id(id);
        if self.is_id_open(hash, now, events, counters) {
            return IdState::OpenHere;
        }
        self.record_open_id(answer_token, hash)
    }

    /// Returns whether the client of a request waits for its answer.
    #[must_use]
    pub fn is_awaited(&self, answer_token: &AnswerToken) -> bool {
        let connection = self.connections.get(&answer_token.connection);
        connection.is_some_and(|c| c.response_number(answer_token.request).is_some())
    }

    /// Sets the locks by which ids are shared with other processes.
    pub fn set_id_locks(&mut self, locks: IdLocks) {
        self.open_ids.locks = Some(locks);
    }

    /// Sets whether the open ids are shared with other processes.
    pub fn share_ids(&mut self, shares_ids: bool) {
        let sharing = if shares_ids {
            IdSharing::On
        } else {
            IdSharing::Off
        };
        self.open_ids.set_sharing(sharing);
    }

    fn is_id_open(
        &mut self,
        hash: IdHash,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) -> bool {
        let Some(IdOwner { connection, .. }) = self.open_ids.owners.get(&hash).copied() else {
            return false;
        };
        self.release_delivered_ids(connection);
        self.open_ids.owners.contains_key(&hash)
            && self.confirm_client_connected(connection, now, events, counters)
    }

    /// Records an id as open, unless it is open at another process.
    fn record_open_id(&mut self, answer_token: &AnswerToken, hash: IdHash) -> IdState {
        let number = answer_token.connection;
        let Some(connection) = self.connections.get_mut(&number) else {
            return IdState::Free;
        };
        let Some(response) = connection.response_number(answer_token.request) else {
            return IdState::Free;
        };
        let owner = IdOwner {
            connection: number,
            response,
        };
        if self.open_ids.insert(hash, owner) == IdState::OpenAtOther {
            return IdState::OpenAtOther;
        }
        connection.ids.ids.push_back(OpenId {
            hash,
            response,
            answer_end: None,
        });
        if connection.ids.ids.len() >= CHECK_DELIVERY_FROM {
            self.release_delivered_ids(number);
        }
        IdState::Free
    }

    /// Releases the ids of a connection whose answers are with its client, if other processes wait
    /// for that. Within one process an id is checked when it comes again.
    pub(super) fn release_shared_ids(&mut self, number: u64) {
        if self.open_ids.sharing == IdSharing::On {
            self.release_delivered_ids(number);
        }
    }

    /// Releases the ids of a connection whose answers are with its client.
    fn release_delivered_ids(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if !connection.ids.has_complete_answer() {
            return;
        }
        let unsent = unsent_bytes(connection.stream.socket());
        for open_id in connection.ids.take_delivered(unsent) {
            self.open_ids.remove(number, open_id);
        }
    }

    /// Releases the ids of all connections whose answers are with their clients.
    pub(super) fn release_all_delivered_ids(&mut self) {
        for number in self.connections_where(|connection| connection.ids.has_complete_answer()) {
            self.release_delivered_ids(number);
        }
    }

    /// Releases all ids of a connection that was removed.
    pub(super) fn release_ids(&mut self, number: u64, connection: &ClientConnection) {
        for open_id in &connection.ids.ids {
            self.open_ids.remove(number, *open_id);
        }
    }
}
