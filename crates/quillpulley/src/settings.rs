//! Re-exports the settings of a process.

pub use quillpulley_settings::Settings;
