//! The replicated control state: the active configuration, the history of configurations, and the evacuated
//! zones.
//!
//! A command passes three steps: a decision ([`ControlState::decide_replace`],
//! [`ControlState::decide_evacuation`]), the append of its entry to the log, and the application of the
//! entry. A decision does not consider entries in the log that are not applied yet. Two entries may therefore
//! have the same base version; the second one is ignored when it is applied. To learn whether a command took
//! effect, the caller asks for the decision again after the entry was applied: it is then
//! [`ReplaceDecision::AlreadyApplied`] or [`EvacuationDecision::AlreadyInEffect`].
//!
//! A configuration that is sent again is recognized by its base version and the hash of its content. If two
//! operators send the same bytes on the same base version, this counts as one command, and both are
//! acknowledged.

#![forbid(unsafe_code)]

mod decision;
mod history;
mod published;

pub use decision::{EvacuationDecision, ReplaceDecision};
pub use history::HISTORY_LENGTH;

use history::{History, LookupResult};
pub use published::published_items;
use quillpulley_protocol::{
    decode_value, encode_value, AppliedConfig, ControlSnapshot, ControlSnapshotRef, Entry, EvacuatedZone,
    Evacuation, LogCommand, LogCommandBody, LogCommandRef, ReplaceConfig,
};
use quillpulley_replication::{RestoreError, StateMachine};
use quillpulley_serving_config::{Configuration, ConfigurationError};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The active version before the first configuration.
const NO_VERSION: u64 = 0;

/// The replicated control state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    /// The active version; 0 before the first configuration.
    version: u64,
    /// The bytes of the active configuration as they were received; empty before the first configuration. The
    /// buffer is shared with queued responses.
    body: Arc<[u8]>,
    /// The index of the log entry of the active configuration; 0 before the first configuration.
    config_index: u64,
    history: History,
    /// The names of the evacuated zones, with the indices of the log entries that evacuated them.
    evacuated: BTreeMap<String, u64>,
}

impl ControlState {
    /// Returns the active version; 0 before the first configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bytes of the active configuration exactly as they were received; `None` before the first
    /// configuration.
    pub fn body(&self) -> Option<&[u8]> {
        (self.version != NO_VERSION).then_some(&self.body)
    }

    /// Returns the bytes of the active configuration without copying them; `None` before the first
    /// configuration. They stay valid after another configuration becomes active.
    pub fn shared_body(&self) -> Option<Arc<[u8]>> {
        (self.version != NO_VERSION).then(|| self.body.clone())
    }

    /// Returns the index of the log entry of the active configuration; 0 before the first configuration.
    pub fn config_index(&self) -> u64 {
        self.config_index
    }

    /// Parses the active configuration; `None` before the first configuration.
    ///
    /// # Errors
    /// [`ConfigurationError`] if another version of this program accepted a configuration that this one
    /// rejects.
    pub fn configuration(&self) -> Result<Option<Configuration>, ConfigurationError> {
        self.body().map(Configuration::parse).transpose()
    }

    /// Returns whether a zone is evacuated, so that no requests may be sent to it.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// Returns the names of the evacuated zones, in order.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        self.evacuated.keys().map(String::as_str)
    }

    /// Decides on a command to replace the configuration of version `base` by `body`.
    pub fn decide_replace(&self, base: u64, body: &[u8]) -> ReplaceDecision {
        let content_hash = history::content_hash(body);
        match self.history.look_up(base, content_hash) {
            LookupResult::Applied => return ReplaceDecision::AlreadyApplied,
            LookupResult::Expired { oldest } => return ReplaceDecision::HistoryExpired { oldest },
            LookupResult::NotApplied => {}
        }
        if base != self.version {
            return ReplaceDecision::Conflict { current: self.version };
        }
        match self.validate(body) {
            Ok(version) => {
                let command = ReplaceConfig { version, base, content_hash, body: body.to_vec() };
                ReplaceDecision::Propose(encode_command(LogCommandBody::ReplaceConfig(Box::new(command))))
            }
            Err(error) => ReplaceDecision::Invalid(error),
        }
    }

    /// Decides on a command to evacuate a zone (`active` is true) or to restore it.
    pub fn decide_evacuation(&self, zone: &str, active: bool) -> EvacuationDecision {
        if self.is_evacuated(zone) == active {
            return EvacuationDecision::AlreadyInEffect;
        }
        let command = Evacuation { zone: zone.to_string(), active };
        EvacuationDecision::Propose(encode_command(LogCommandBody::Evacuation(Box::new(command))))
    }

    /// Parses a configuration, checks that it may follow the active one, and returns its version.
    fn validate(&self, body: &[u8]) -> Result<u64, ConfigurationError> {
        let configuration = Configuration::parse(body)?;
        configuration.check_follows(self.version)?;
        Ok(configuration.version)
    }

    /// Applies a configuration. Ignores it unless its base version is the active version and its own version
    /// is higher.
    fn apply_replacement(&mut self, command: ReplaceConfig, index: u64) {
        if command.base != self.version || command.version <= self.version {
            return;
        }
        let ReplaceConfig { version, base, content_hash, body } = command;
        self.history.push(AppliedConfig { version, base, content_hash });
        self.version = version;
        self.body = body.into();
        self.config_index = index;
    }

    fn apply_evacuation(&mut self, command: Evacuation, index: u64) {
        if command.active {
            self.evacuated.entry(command.zone).or_insert(index);
        } else {
            self.evacuated.remove(&command.zone);
        }
    }
}

impl StateMachine for ControlState {
    fn apply(&mut self, entry: &Entry) {
        let command: LogCommand = match decode_value::<LogCommandRef<'_>, _>(&entry.payload) {
            Ok(command) => command,
            Err(error) => {
                return log::error!(index = entry.index, error:%; "ignoring a log entry that cannot be decoded")
            }
        };
        match command.body {
            Some(LogCommandBody::ReplaceConfig(command)) => self.apply_replacement(*command, entry.index),
            Some(LogCommandBody::Evacuation(command)) => self.apply_evacuation(*command, entry.index),
            None => {}
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let zone = |(zone, index): (&String, &u64)| EvacuatedZone {
            zone: zone.clone(),
            active: true,
            index: *index,
        };
        encode_value::<ControlSnapshot>(&ControlSnapshot {
            version: self.version,
            body: self.body.to_vec(),
            history: self.history.to_vec(),
            zones: self.evacuated.iter().map(zone).collect(),
            config_index: self.config_index,
        })
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let malformed = |error| RestoreError { reason: format!("{error}") };
        let snapshot: ControlSnapshot =
            decode_value::<ControlSnapshotRef<'_>, _>(snapshot).map_err(malformed)?;
        let active = snapshot.zones.into_iter().filter(|zone| zone.active);
        *self = ControlState {
            version: snapshot.version,
            body: snapshot.body.into(),
            config_index: snapshot.config_index,
            history: History::from(snapshot.history),
            evacuated: active.map(|zone| (zone.zone, zone.index)).collect(),
        };
        Ok(())
    }
}

fn encode_command(body: LogCommandBody) -> Vec<u8> {
    encode_value::<LogCommand>(&LogCommand { body: Some(body) })
}
