//! The replicated control state: the configuration in force, those taken before, and the evacuated zones.
//!
//! An order is decided on ([`ControlState::decide_replace`], [`ControlState::decide_evacuation`]), appended to
//! the log, and applied. Orders that are on their way through the log are not seen by a decision, so two of them
//! may build on one version; the one that is applied second is then ignored. What became of an order is known
//! by deciding on it once more after it was applied: `AlreadyApplied` or `AlreadySo` if it is in force or was.
//!
//! A configuration that is sent again is known by its base and the hash of its content. Two operators that send
//! the same bytes on the same base are therefore one order, and both are told that it was taken.

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
    /// The version in force; 0 before the first.
    version: u64,
    /// The configuration in force, as it was sent; empty before the first. Answers that wait to be written share it.
    body: Arc<[u8]>,
    /// The index of the log entry that brought it.
    config_index: u64,
    history: History,
    /// The evacuated zones, with the index of the log entry that began it.
    evacuated: BTreeMap<String, u64>,
}

impl ControlState {
    /// Returns the version in force; 0 before the first configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the configuration in force, exactly as it was sent.
    pub fn body(&self) -> Option<&[u8]> {
        (self.version != NO_VERSION).then_some(&self.body)
    }

    /// Returns the same, to be kept while other configurations follow, without a copy.
    pub fn shared_body(&self) -> Option<Arc<[u8]>> {
        (self.version != NO_VERSION).then(|| self.body.clone())
    }

    /// Returns the index of the log entry that brought the configuration in force; 0 before the first.
    pub fn config_index(&self) -> u64 {
        self.config_index
    }

    /// Returns the configuration in force, read again.
    pub fn configuration(&self) -> Result<Option<Configuration>, ConfigurationError> {
        self.body().map(Configuration::parse).transpose()
    }

    /// Returns whether nothing more may be sent to a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// Returns the zones to which nothing more may be sent.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        self.evacuated.keys().map(String::as_str)
    }

    /// Returns what to do about a configuration that is to follow version `base`.
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

    /// Returns what to do about an order to evacuate a zone, or to take it back.
    pub fn decide_evacuation(&self, zone: &str, active: bool) -> EvacuationDecision {
        if self.is_evacuated(zone) == active {
            return EvacuationDecision::AlreadyInEffect;
        }
        let command = Evacuation { zone: zone.to_string(), active };
        EvacuationDecision::Propose(encode_command(LogCommandBody::Evacuation(Box::new(command))))
    }

    /// Returns the version of a configuration that may follow the one in force.
    fn validate(&self, body: &[u8]) -> Result<u64, ConfigurationError> {
        let configuration = Configuration::parse(body)?;
        configuration.check_follows(self.version)?;
        Ok(configuration.version)
    }

    /// Takes a configuration if it builds on the one in force.
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
            Err(error) => return log::error!("log entry {} is passed over: {error}", entry.index),
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
