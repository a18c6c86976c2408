//! The settings of a running control node, which change with their file.
//!
//! The file is read again on a signal, while the node is isolated, and from time to time, as it may change without a
//! signal. A file that cannot be used leaves the settings as they were. So does a file that lacks the seeds or the
//! address of the platform's list, which may not be written completely yet.

use crate::Settings;
use quillpulley_settings::SettingsError;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Time after which a node that is in no view and has no connection to another node reloads the settings.
const ISOLATED_RELOAD_AFTER: Duration = Duration::from_secs(3);
/// Interval at which the file is read without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);
/// The keys that a running control node applies.
const APPLIED_KEYS: [&str; 2] = ["Seeds", "Cloud"];

/// The settings, and when their file was read.
pub struct SettingsWatch {
    settings: Settings,
    /// What the file held when it was last read; it may name settings that apply from the next start.
    file: Settings,
    read_at: Duration,
    isolated_since: Duration,
    /// Why the file could not be used when it was last read.
    error: Option<String>,
}

impl SettingsWatch {
    /// Watches the file that the settings of the start were read from.
    pub fn new(now: Duration, settings: Settings) -> Self {
        SettingsWatch { file: settings.clone(), settings, read_at: now, isolated_since: now, error: None }
    }

    /// Returns the settings that are in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the IPv4 addresses of the seeds; other addresses are ignored.
    pub fn seeds(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.settings.seeds.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        })
    }

    /// Returns whether the file has to be read because time has passed, or because the node has been isolated.
    pub fn is_reload_due(&mut self, now: Duration, is_isolated: bool) -> bool {
        let is_alone = is_isolated && now >= self.isolated_since + ISOLATED_RELOAD_AFTER;
        if is_alone || !is_isolated {
            self.isolated_since = now;
        }
        is_alone || now >= self.read_at + RELOAD_INTERVAL
    }

    /// Takes what was read from the file. Returns whether settings in force have changed.
    pub fn update(&mut self, now: Duration, read: Result<Settings, SettingsError>) -> bool {
        self.read_at = now;
        match read {
            Ok(file) => {
                self.error = None;
                let has_changed = self.apply(&file);
                self.file = file;
                has_changed
            }
            Err(error) => {
                self.report(error.to_string());
                false
            }
        }
    }

    fn apply(&mut self, file: &Settings) -> bool {
        let changed = self.file.changed_keys(file);
        if changed.is_empty() {
            return false;
        }
        let later: Vec<&str> = changed.iter().copied().filter(|key| !APPLIED_KEYS.contains(key)).collect();
        log::info!(changed:? = changed, from_next_start:? = later; "the settings file has changed");
        let before = (self.settings.seeds.clone(), self.settings.platform.clone());
        if !file.seeds.is_empty() {
            self.settings.seeds.clone_from(&file.seeds);
        }
        if file.platform.is_some() {
            self.settings.platform.clone_from(&file.platform);
        }
        before != (self.settings.seeds.clone(), self.settings.platform.clone())
    }

    /// Logs why the file cannot be used, once for several times in a row.
    fn report(&mut self, error: String) {
        if self.error.as_ref() != Some(&error) {
            log::warn!(error = error.as_str(); "failed to reload the settings file; keeping the previous settings");
        }
        self.error = Some(error);
    }
}
