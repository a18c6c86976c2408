//! The settings of a process, as the hosts use them.

pub use quillpulley_settings::Settings;
