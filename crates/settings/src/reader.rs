//! Typed access to the values of a settings file. Errors name the key and the expected kind of value.

use super::SettingsError;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use toml::{Table, Value};

pub(super) const A_TEXT: &str = "a text in quotation marks";
pub(super) const A_FOLDER: &str = "the path of a folder such as \"/var/lib/quillpulley\"";
pub(super) const AN_IP: &str = "an IPv4 address such as \"10.0.0.1\"";
pub(super) const AN_ADDRESS: &str = "an address with its port such as \"10.0.0.1:8080\"";
const TEXTS: &str = "a list of texts such as [\"a\", \"b\"]";
const A_NUMBER: &str = "a number, 0 or above";
const AN_INTEGER: &str = "a whole number, 0 or above";
const A_FLAG: &str = "true or false";
const A_TABLE: &str = "a table, with its keys below";

/// Longer durations are clamped to this one: 365 days.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 3600);

/// One table of the file. A missing table is treated as an empty one.
pub(super) struct Section<'a> {
    name: Option<&'static str>,
    table: Option<&'a Table>,
}

impl<'a> Section<'a> {
    pub fn root(table: &'a Table) -> Section<'a> {
        Section { name: None, table: Some(table) }
    }

    pub fn section(&self, key: &'static str) -> Result<Section<'a>, SettingsError> {
        let table = match self.value(key) {
            Some(Value::Table(table)) => Some(table),
            Some(other) => return Err(self.wrong_kind(key, other, A_TABLE)),
            None => None,
        };
        Ok(Section { name: Some(key), table })
    }

    pub fn string(&self, key: &str) -> Result<Option<String>, SettingsError> {
        match self.value(key) {
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(other) => Err(self.wrong_kind(key, other, A_TEXT)),
            None => Ok(None),
        }
    }

    pub fn required_string(&self, key: &str) -> Result<String, SettingsError> {
        self.string(key)?.ok_or_else(|| self.missing(key, A_TEXT))
    }

    pub fn strings(&self, key: &str) -> Result<Vec<String>, SettingsError> {
        let text = |value: &Value| value.as_str().map(str::to_string);
        self.list(key, TEXTS, text)
    }

    /// Returns all keys of the section with their values, which must be strings and may be empty.
    pub fn all_strings(&self) -> Result<BTreeMap<String, String>, SettingsError> {
        let mut strings = BTreeMap::new();
        for key in self.table.into_iter().flat_map(Table::keys) {
            strings.insert(key.clone(), self.string(key)?.unwrap_or_default());
        }
        Ok(strings)
    }

    pub fn required_ip(&self, key: &str) -> Result<Ipv4Addr, SettingsError> {
        let value = self.value(key).ok_or_else(|| self.missing(key, AN_IP))?;
        let ip = value.as_str().and_then(|text| text.parse().ok());
        ip.ok_or_else(|| self.wrong_kind(key, value, AN_IP))
    }

    pub fn address(&self, key: &str) -> Result<Option<SocketAddr>, SettingsError> {
        let Some(value) = self.value(key) else { return Ok(None) };
        let address = address(value).ok_or_else(|| self.wrong_kind(key, value, AN_ADDRESS))?;
        Ok(Some(address))
    }

    pub fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>, SettingsError> {
        self.list(key, AN_ADDRESS, address)
    }

    /// Returns the elements of an array, each converted by `read`, or an empty list if the key is missing. `expected`
    /// describes the array in the error if the value is not an array or `read` returns `None` for an element.
    pub fn list<T>(
        &self,
        key: &str,
        expected: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<Vec<T>, SettingsError> {
        let Some(value) = self.value(key) else { return Ok(Vec::new()) };
        let elements = value.as_array().ok_or_else(|| self.wrong_kind(key, value, expected))?;
        let list: Option<Vec<T>> = elements.iter().map(read).collect();
        list.ok_or_else(|| self.wrong_kind(key, value, expected))
    }

    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.value(key) {
            Some(Value::Boolean(flag)) => Ok(*flag),
            Some(other) => Err(self.wrong_kind(key, other, A_FLAG)),
            None => Ok(false),
        }
    }

    pub fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let number = match self.value(key) {
            Some(Value::Integer(number)) => *number as f64,
            Some(Value::Float(number)) => *number,
            Some(Value::Boolean(_)) | None => return Ok(default),
            Some(other) => return Err(self.wrong_kind(key, other, A_NUMBER)),
        };
        if number.is_finite() && number >= 0.0 {
            return Ok(number);
        }
        Err(self.wrong_kind(key, &Value::Float(number), A_NUMBER))
    }

    pub fn integer(&self, key: &str, default: u32) -> Result<u32, SettingsError> {
        let number = self.number(key, f64::from(default))?;
        if number.fract() == 0.0 && number <= f64::from(u32::MAX) {
            return Ok(number as u32);
        }
        Err(self.wrong_kind(key, &Value::Float(number), AN_INTEGER))
    }

    pub fn milliseconds(&self, key: &str, default: Duration) -> Result<Duration, SettingsError> {
        let number = self.number(key, default.as_secs_f64() * 1000.0)?;
        Ok(duration(number / 1000.0))
    }

    pub fn seconds(&self, key: &str, default: Duration) -> Result<Duration, SettingsError> {
        Ok(duration(self.number(key, default.as_secs_f64())?))
    }

    /// Returns the value of a key, or `None` if it is missing, an empty string or an empty array.
    fn value(&self, key: &str) -> Option<&'a Value> {
        self.table?.get(key).filter(|value| match value {
            Value::String(text) => !text.is_empty(),
            Value::Array(elements) => !elements.is_empty(),
            _ => true,
        })
    }

    pub fn wrong_kind(&self, key: &str, found: &Value, expected: &'static str) -> SettingsError {
        SettingsError::WrongKind { key: self.path(key), found: display_value(found), expected }
    }

    pub fn missing(&self, key: &str, expected: &'static str) -> SettingsError {
        SettingsError::Missing { key: self.path(key), expected }
    }

    fn path(&self, key: &str) -> String {
        match self.name {
            Some(section) => format!("{section}.{key}"),
            None => key.to_string(),
        }
    }
}

/// Returns the keys of a file that have a value, each preceded by the name of its table. `Zones` counts as one key, as its
/// keys are values: the names of the zones.
pub(super) fn keys(table: &Table) -> BTreeSet<String> {
    let root = Section::root(table);
    let mut keys = BTreeSet::new();
    for (key, value) in table.iter().filter(|(key, _)| root.value(key).is_some()) {
        match value {
            Value::Table(section) if key == "Zones" && section.is_empty() => {}
            Value::Table(section) if key != "Zones" => {
                keys.extend(section.keys().map(|name| format!("{key}.{name}")));
            }
            _ => drop(keys.insert(key.clone())),
        }
    }
    keys
}

/// Returns the error for a text that is not valid TOML.
pub(super) fn not_toml(text: &str, error: &toml::de::Error) -> SettingsError {
    let start = error.span().map_or(0, |span| span.start);
    let before = text.bytes().take(start);
    let line = 1 + before.filter(|byte| *byte == b'\n').count();
    SettingsError::NotToml { line, reason: error.message().to_string() }
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DURATION).min(MAX_DURATION)
}

fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => format!("{text:?}"),
        Value::Integer(number) => number.to_string(),
        Value::Float(number) => number.to_string(),
        Value::Boolean(flag) => flag.to_string(),
        Value::Datetime(_) => "a date".to_string(),
        Value::Array(_) => "that list".to_string(),
        Value::Table(_) => "a table".to_string(),
    }
}
