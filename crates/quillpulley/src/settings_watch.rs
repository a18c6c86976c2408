//! The settings of a running process, which change with their file.
//!
//! The file is read again on a signal and from time to time, as it may change without a signal. A file that cannot be
//! used leaves the settings as they were. So does a section that lacks keys which it had: it may not be written
//! completely yet.

use crate::Settings;
use quillpulley_settings::SettingsError;
use std::time::Duration;

/// A function that reads the settings file.
pub type LoadSettings = Box<dyn Fn() -> Result<Settings, SettingsError>>;

/// A section of the settings that a running process can apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// `Seeds`.
    Seeds,
    /// `Cloud`: the platform's list.
    Cloud,
    /// `Zones`: the region of each zone.
    Zones,
    /// `Bounds`.
    Bounds,
}

impl Section {
    fn key(self) -> &'static str {
        match self {
            Section::Seeds => "Seeds",
            Section::Cloud => "Cloud",
            Section::Zones => "Zones",
            Section::Bounds => "Bounds",
        }
    }

    fn copy(self, file: &Settings, settings: &mut Settings) {
        match self {
            Section::Seeds => settings.seeds.clone_from(&file.seeds),
            Section::Cloud => settings.platform.clone_from(&file.platform),
            Section::Zones => settings.zones.clone_from(&file.zones),
            Section::Bounds => settings.bounds.clone_from(&file.bounds),
        }
    }
}

/// The settings, and when their file was read.
pub struct SettingsWatch {
    /// The settings in force.
    settings: Settings,
    /// What the file held when it was last read; it may name settings that apply from the next start.
    file: Settings,
    /// The sections that this process applies.
    applied: &'static [Section],
    read_interval: Duration,
    read_at: Duration,
    /// Why the file could not be used when it was last read.
    error: Option<String>,
}

impl SettingsWatch {
    /// Watches the file that the settings of the start were read from.
    pub fn new(
        now: Duration,
        settings: Settings,
        applied: &'static [Section],
        read_interval: Duration,
    ) -> Self {
        SettingsWatch { file: settings.clone(), settings, applied, read_interval, read_at: now, error: None }
    }

    /// Returns the settings that are in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns when the file has to be read without a signal.
    pub fn next_reading(&self) -> Duration {
        self.read_at + self.read_interval
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
        let before = self.settings.clone();
        let (complete, incomplete): (Vec<Section>, Vec<Section>) =
            self.applied.iter().partition(|section| file.has_all_keys_of(&before, section.key()));
        for section in complete {
            section.copy(file, &mut self.settings);
        }
        let is_applied = |key: &str| self.applied.iter().any(|section| section.key() == key);
        let later: Vec<&str> = changed.iter().copied().filter(|key| !is_applied(key)).collect();
        let incomplete: Vec<&str> = incomplete.into_iter().map(Section::key).collect();
        log::info!(
            changed:? = changed, from_next_start:? = later, incomplete:? = incomplete;
            "the settings file has changed"
        );
        self.applied.iter().any(|section| before.changed_keys(&self.settings).contains(&section.key()))
    }

    /// Logs why the file cannot be used, once for several times in a row.
    fn report(&mut self, error: String) {
        if self.error.as_ref() != Some(&error) {
            log::warn!(error = error.as_str(); "failed to reload the settings file; keeping the previous settings");
        }
        self.error = Some(error);
    }
}
