//! Checks files before they are used: settings, and configurations of the operator.

use displaydoc::Display;
use quillpulley::Settings;
use quillpulley_serving_config::{Configuration, ConfigurationError};
use quillpulley_settings::SettingsError;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a valid file holds.
#[derive(Debug, Display)]
enum CheckedFile {
    /// settings of {0}
    Settings(String),
    /// configuration {0}
    Configuration(u64),
}

/// Why a file cannot be used.
#[derive(Debug, Display)]
enum CheckError {
    /// {0}
    Settings(SettingsError),
    /// {0}
    Configuration(ConfigurationError),
}

/// Checks each file and prints the result. The exit code tells whether all files are valid.
pub fn run(files: &[PathBuf]) -> ExitCode {
    let mut all_valid = true;
    for file in files {
        match check(file) {
            Ok(checked) => println!("{}: {checked}, no errors", file.display()),
            Err(error) => {
                all_valid = false;
                println!("{}: {error}", file.display());
            }
        }
    }
    if all_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Checks a file, whose kind is told by its contents.
fn check(file: &Path) -> Result<CheckedFile, CheckError> {
    let unreadable = |error| SettingsError::Unreadable { path: file.to_path_buf(), error: Box::new(error) };
    let text = fs::read_to_string(file).map_err(|error| CheckError::Settings(unreadable(error)))?;
    match text.trim_start().starts_with('{') {
        true => check_configuration(&text).map_err(CheckError::Configuration),
        false => check_settings(&text).map_err(CheckError::Settings),
    }
}

fn check_settings(text: &str) -> Result<CheckedFile, SettingsError> {
    let settings = Settings::parse(text)?;
    for caller in &settings.serves {
        check_required(&settings, caller)?;
    }
    Ok(CheckedFile::Settings(settings.node_name))
}

/// Checks that the settings hold what a process needs that serves a kind of callers.
fn check_required(settings: &Settings, caller: &str) -> Result<(), SettingsError> {
    match caller {
        "front" => {
            settings.front_address()?;
            settings.ready_address()?;
        }
        "control" => {
            settings.control_address()?;
            settings.required_data_folder()?;
        }
        "directory" => {
            settings.directory_address()?;
        }
        _ => {}
    }
    Ok(())
}

fn check_configuration(text: &str) -> Result<CheckedFile, ConfigurationError> {
    let configuration = Configuration::parse(text.as_bytes())?;
    Ok(CheckedFile::Configuration(configuration.version))
}
