//! Typed access to the fields of a JSON object. A field with the value null is treated as missing.

use super::ConfigurationError;
use simd_json::prelude::*;
use simd_json::tape::{Object, Value};
use std::time::Duration;

const AN_OBJECT: &str = "an object";
const A_LIST: &str = "a list";
const A_TEXT: &str = "a text";
const TEXTS: &str = "a list of texts";
const A_NUMBER: &str = "a number, 0 or above";
const AN_INTEGER: &str = "a whole number, 0 or above";

/// Longer durations are clamped to this one: seven days.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3600);
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// The fields of a JSON object, and the description of the object that is used in errors.
pub(super) struct Fields<'tape, 'input> {
    object: Object<'tape, 'input>,
    pub location: String,
}

impl<'tape, 'input> Fields<'tape, 'input> {
    pub fn of(value: Value<'tape, 'input>, location: &str) -> Result<Self, ConfigurationError> {
        match value.as_object() {
            Some(object) => Ok(Fields { object, location: location.to_string() }),
            None => Err(ConfigurationError::WrongKind {
                location: location.to_string(),
                field: "the value",
                expected: AN_OBJECT,
            }),
        }
    }

    pub fn optional(&self, field: &str) -> Option<Value<'tape, 'input>> {
        self.object.get(field).filter(|value| !value.is_null())
    }

    /// Returns the elements of a required list, each converted by `read`, which also gets the index of the element.
    pub fn required_list<T>(
        &self,
        field: &'static str,
        read: impl Fn(Value<'_, '_>, usize) -> Result<T, ConfigurationError>,
    ) -> Result<Vec<T>, ConfigurationError> {
        if self.optional(field).is_none() {
            return Err(self.missing(field));
        }
        self.optional_list(field, read)
    }

    /// Returns the elements of an optional list, each converted by `read`. Returns an empty list if the field is missing.
    pub fn optional_list<T>(
        &self,
        field: &'static str,
        read: impl Fn(Value<'_, '_>, usize) -> Result<T, ConfigurationError>,
    ) -> Result<Vec<T>, ConfigurationError> {
        let Some(value) = self.optional(field) else { return Ok(Vec::new()) };
        let elements = value.as_array().ok_or_else(|| not_a_list(&self.location, field))?;
        elements.iter().enumerate().map(|(index, element)| read(element, index)).collect()
    }

    pub fn string(&self, field: &'static str) -> Result<Option<String>, ConfigurationError> {
        let Some(value) = self.optional(field) else { return Ok(None) };
        let text = value.as_str().ok_or_else(|| self.wrong_kind(field, A_TEXT))?;
        Ok(Some(text.to_string()))
    }

    pub fn required_string(&self, field: &'static str) -> Result<String, ConfigurationError> {
        self.string(field)?.ok_or_else(|| self.missing(field))
    }

    /// Returns a string, or the default if the field is missing or is not a string.
    pub fn string_or(&self, field: &str, default: &str) -> String {
        let text = self.optional(field).and_then(Value::into_string);
        text.unwrap_or(default).to_string()
    }

    /// Returns whether the field is true. A missing field, and one that is not a boolean, counts as false.
    pub fn flag(&self, field: &str) -> bool {
        self.optional(field).and_then(|value| value.as_bool()).unwrap_or(false)
    }

    /// Returns the strings of a field that is a list of strings or a single string. Empty strings are omitted.
    pub fn strings(&self, field: &'static str) -> Result<Vec<String>, ConfigurationError> {
        let Some(value) = self.optional(field) else { return Ok(Vec::new()) };
        let strings: Option<Vec<&str>> = match (value.as_str(), value.as_array()) {
            (Some(text), _) => Some(vec![text]),
            (None, Some(elements)) => elements.iter().map(Value::into_string).collect(),
            (None, None) => None,
        };
        let strings = strings.ok_or_else(|| self.wrong_kind(field, TEXTS))?;
        Ok(strings.into_iter().filter(|text| !text.is_empty()).map(str::to_string).collect())
    }

    pub fn number(&self, field: &'static str) -> Result<Option<f64>, ConfigurationError> {
        let Some(value) = self.optional(field) else { return Ok(None) };
        let number = value.cast_f64().filter(|number| number.is_finite() && *number >= 0.0);
        Ok(Some(number.ok_or_else(|| self.wrong_kind(field, A_NUMBER))?))
    }

    /// Returns an integer, or the default if the field is missing. Greater values than `u32::MAX` are clamped.
    pub fn count(&self, field: &'static str, default: u32) -> Result<u32, ConfigurationError> {
        let number = self.number(field)?.unwrap_or(f64::from(default));
        if number.fract() == 0.0 {
            return Ok(number as u32);
        }
        Err(self.wrong_kind(field, AN_INTEGER))
    }

    /// Returns a required integer. Integers up to `u64::MAX` are exact; numbers such as `7.0` are accepted.
    pub fn required_integer(&self, field: &'static str) -> Result<u64, ConfigurationError> {
        let value = self.optional(field).ok_or_else(|| self.missing(field))?;
        if let Some(number) = value.as_u64() {
            return Ok(number);
        }
        let number = value.as_f64().filter(|number| number.fract() == 0.0 && *number >= 0.0);
        Ok(number.ok_or_else(|| self.wrong_kind(field, AN_INTEGER))? as u64)
    }

    pub fn milliseconds(&self, field: &'static str) -> Result<Option<Duration>, ConfigurationError> {
        let number = self.number(field)?;
        Ok(number.map(|milliseconds| duration(milliseconds / MILLISECONDS_PER_SECOND)))
    }

    pub fn seconds(&self, field: &'static str) -> Result<Option<Duration>, ConfigurationError> {
        Ok(self.number(field)?.map(duration))
    }

    pub fn missing(&self, field: &'static str) -> ConfigurationError {
        ConfigurationError::Missing { location: self.location.clone(), field }
    }

    fn wrong_kind(&self, field: &'static str, expected: &'static str) -> ConfigurationError {
        ConfigurationError::WrongKind { location: self.location.clone(), field, expected }
    }
}

/// Returns the error for a field that should be a list.
pub(super) fn not_a_list(location: &str, field: &'static str) -> ConfigurationError {
    ConfigurationError::WrongKind { location: location.to_string(), field, expected: A_LIST }
}

/// Serializes durations as numbers. For use in `serialize_with`.
pub(super) mod written {
    use super::MILLISECONDS_PER_SECOND;
    use serde::{Serialize, Serializer};
    use std::time::Duration;

    pub fn milliseconds<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        (time.as_secs_f64() * MILLISECONDS_PER_SECOND).serialize(serializer)
    }

    pub fn optional_milliseconds<S: Serializer>(
        time: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let milliseconds = time.map(|time| time.as_secs_f64() * MILLISECONDS_PER_SECOND);
        milliseconds.serialize(serializer)
    }

    pub fn seconds<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        time.as_secs_f64().serialize(serializer)
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DURATION).min(MAX_DURATION)
}
