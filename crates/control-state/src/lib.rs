//! The replicated control state: the active configuration, the history of configurations, and the evacuated zones.
//!
//! A command is decided ([`ControlState::decide_replace`], [`ControlState::decide_evacuation`]), appended to the log,
//! and applied. A decision does not see commands in the log that are not applied, so that two of them may build on
//! one version; the second one is ignored when it is applied. The result of a command is known by deciding it again
//! after it was applied: [`ReplaceDecision::AlreadyApplied`] or [`EvacuationDecision::AlreadyInEffect`] if it took
//! effect.
//!
//! A configuration that is sent again is recognized by its base and the hash of its content. Two operators that send
//! the same bytes on the same base are therefore one command, and both are acknowledged.

#![forbid(unsafe_code)]

mod decision;
mod history;
mod published;

pub use decision::{EvacuationDecision, ReplaceDecision};
pub use history::HISTORY_LENGTH;

use history::{DedupLookup, History};
pub use published::published_items;
use quillpulley_protocol::{
    decode_value, encode_value, AppliedConfig, ControlSnapshot, ControlSnapshotRef, Entry, EvacuatedZone,
    Evacuation, LogCommand, LogCommandBody, LogCommandRef, ReplaceConfig,
};
use quillpulley_replication::{RestoreError, StateMachine};
use quillpulley_serving_config::{Configuration, ConfigurationError};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The version before the first configuration.
const NO_VERSION: u64 = 0;

/// The replicated control state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    /// The active version; 0 before the first.
    version: u64,
    /// The active configuration, as it was sent; empty before the first. Queued responses share it.
    body: Arc<[u8]>,
    /// The index of its log entry.
    config_index: u64,
    history: History,
    /// The evacuated zones, with the indices of the log entries that evacuated them.
    evacuated: BTreeMap<String, u64>,
}

impl ControlState {
    /// Returns the active version; 0 before the first configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the active configuration, exactly as it was sent.
    pub fn body(&self) -> Option<&[u8]> {
        (self.version != NO_VERSION).then_some(&self.body)
    }

    /// Returns the active configuration without a copy. It stays valid when another one follows.
    pub fn shared_body(&self) -> Option<Arc<[u8]>> {
        (self.version != NO_VERSION).then(|| self.body.clone())
    }

    /// Returns the index of the log entry of the active configuration; 0 before the first.
    pub fn config_index(&self) -> u64 {
        self.config_index
    }

    /// Parses the active configuration.
    ///
    /// # Errors
    /// [`ConfigurationError`].
    pub fn configuration(&self) -> Result<Option<Configuration>, ConfigurationError> {
        self.body().map(Configuration::parse).transpose()
    }

    /// Returns whether a zone is evacuated: nothing may be sent to it.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        self.evacuated.keys().map(String::as_str)
    }

    /// Decides a configuration that builds on version `base`.
    pub fn decide_replace(&self, base: u64, body: &[u8]) -> ReplaceDecision {
        let content_hash = history::content_hash(body);
        match self.history.look_up(base, content_hash) {
            DedupLookup::Applied => return ReplaceDecision::AlreadyApplied,
            DedupLookup::Expired { oldest } => return ReplaceDecision::HistoryExpired { oldest },
            DedupLookup::NotApplied => {}
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

    /// Decides a command to evacuate or restore a zone.
    pub fn decide_evacuation(&self, zone: &str, active: bool) -> EvacuationDecision {
        if self.is_evacuated(zone) == active {
            return EvacuationDecision::AlreadyInEffect;
        }
        let command = Evacuation { zone: zone.to_string(), active };
        EvacuationDecision::Propose(encode_command(LogCommandBody::Evacuation(Box::new(command))))
    }

    /// Returns the version of a configuration that may follow the active one.
    fn validate(&self, body: &[u8]) -> Result<u64, ConfigurationError> {
        let configuration = Configuration::parse(body)?;
        configuration.check_follows(self.version)?;
        Ok(configuration.version)
    }

    /// Applies a configuration, if it builds on the active one.
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
                return log::error!(index = entry.index, error:%; "a log entry cannot be read and is ignored")
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
