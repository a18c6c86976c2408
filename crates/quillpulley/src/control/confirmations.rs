//! Confirmations of evacuation commands by their callers.
//!
//! An evacuation command has neither an id nor a base version, so a copy that was held up on its way cannot be told
//! from a new command, and would undo what its caller has ordered since. The first copy of a command is therefore
//! not executed: the caller is asked to send it again, by a redirect to the same node. Only a caller that still waits
//! does so, and the copy that follows was sent after the request. A request for confirmation ends as soon as another
//! command for the zone is decided. This is the three-way handshake by which TCP rejects delayed connection requests.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a caller can confirm a command.
const LIFETIME: Duration = Duration::from_secs(3);
/// Maximum number of commands that wait to be confirmed.
const MAX_PENDING: usize = 1_000;

/// Identifies a request for confirmation. Later requests of a process have greater numbers; 0 is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfirmationId(pub u64);

/// How and when a command arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Receipt {
    /// The time at which the head of the request had been read.
    pub received_at: Duration,
    /// The newest request for confirmation after which the command was certainly sent.
    pub sent_after: ConfirmationId,
}

/// A command that waits to be confirmed.
#[derive(Debug)]
struct Pending {
    /// Whether the command starts the evacuation or ends it.
    active: bool,
    id: ConfirmationId,
    expires_at: Duration,
}

/// The evacuation commands that wait to be confirmed: one for each zone at most, as only one of the two commands
/// changes the state of a zone.
#[derive(Debug, Default)]
pub struct Confirmations {
    last_id: u64,
    pending: BTreeMap<String, Pending>,
}

impl Confirmations {
    /// Returns whether a command was sent after its caller had been asked to confirm it, and no other command for
    /// the zone has been decided since.
    pub fn is_confirmed(&self, zone: &str, active: bool, receipt: Receipt) -> bool {
        self.pending.get(zone).is_some_and(|pending| {
            pending.active == active
                && pending.id <= receipt.sent_after
                && receipt.received_at < pending.expires_at
        })
    }

    /// Requests that a command is confirmed. Copies of one command share their request. Returns `None` if too many
    /// commands wait.
    pub fn request(&mut self, zone: &str, active: bool, receipt: Receipt) -> Option<ConfirmationId> {
        self.expire(receipt.received_at);
        if self.pending.len() >= MAX_PENDING && !self.pending.contains_key(zone) {
            return None;
        }
        let expires_at = receipt.received_at + LIFETIME;
        if let Some(pending) = self.pending.get_mut(zone).filter(|pending| pending.active == active) {
            pending.expires_at = expires_at.max(pending.expires_at);
            return Some(pending.id);
        }
        self.last_id += 1;
        let id = ConfirmationId(self.last_id);
        self.pending.insert(zone.to_string(), Pending { active, id, expires_at });
        Some(id)
    }

    /// Ends the request for confirmation of a command for `zone`, because a command for it has been decided.
    pub fn end(&mut self, zone: &str) {
        self.pending.remove(zone);
    }

    /// Ends all requests for confirmation, because other nodes may decide commands from now on.
    pub fn end_all(&mut self) {
        self.pending.clear();
    }

    /// Removes the requests that have expired at `now`.
    pub fn expire(&mut self, now: Duration) {
        self.pending.retain(|_, pending| pending.expires_at > now);
    }
}
