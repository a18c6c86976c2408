//! Checks of files before they are used: settings and operator's configurations.

use quillpulley::Settings;
use quillpulley_serving_config::Configuration;
use quillpulley_settings::SettingsError;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Checks each file and prints what there is to say of it.
pub fn run(files: &[PathBuf]) -> ExitCode {
    let mut all_fine = true;
    for file in files {
        match check(file) {
            Ok(kind) => println!("{}: {kind}, no errors", file.display()),
            Err(error) => {
                all_fine = false;
                println!("{}: {error}", file.display());
            }
        }
    }
    if all_fine {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Returns what a file is, if it can be used.
fn check(file: &Path) -> Result<String, String> {
    let unreadable = |error| SettingsError::Unreadable { path: file.to_path_buf(), error: Box::new(error) };
    let text = fs::read_to_string(file).map_err(|error| unreadable(error).to_string())?;
    match text.trim_start().starts_with('{') {
        true => check_configuration(&text),
        false => check_settings(&text),
    }
}

fn check_settings(text: &str) -> Result<String, String> {
    let settings = Settings::parse(text).map_err(|error| error.to_string())?;
    for caller in &settings.serves {
        check_for(&settings, caller).map_err(|error| error.to_string())?;
    }
    Ok(format!("settings of {}", settings.node_name))
}

/// Returns whether the settings hold what a process needs that these may call from outside.
fn check_for(settings: &Settings, caller: &str) -> Result<(), SettingsError> {
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

fn check_configuration(text: &str) -> Result<String, String> {
    let configuration = Configuration::parse(text.as_bytes()).map_err(|error| error.to_string())?;
    Ok(format!("configuration {}", configuration.version))
}
