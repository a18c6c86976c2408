//! The subcommand `check`: validates settings files and serving configurations before they are used.

use displaydoc::Display;
use quillpulley::Settings;
use quillpulley_serving_config::{Configuration, ConfigurationError};
use quillpulley_settings::SettingsError;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The kind of a valid file.
#[derive(Debug, Display)]
enum CheckedFile {
    /// settings of {0}
    Settings(String),
    /// configuration {0}
    Configuration(u64),
}

/// Why a file is invalid.
#[derive(Debug, Display)]
enum CheckError {
    /// {0}
    Settings(SettingsError),
    /// {0}
    Configuration(ConfigurationError),
}

/// Checks each file and prints the result. The exit code is 0 if all files are valid, and 1 otherwise.
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

/// Checks a file. A file whose text begins with `{` is a serving configuration, any other one is a settings file.
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

/// Checks that the settings contain the keys that a process needs to serve this kind of caller.
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
