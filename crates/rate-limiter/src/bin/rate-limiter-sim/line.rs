//! Access to the fields of an input line.

use super::error::LineError;
use std::str::FromStr;

/// An input line and its fields, which are separated by single spaces.
pub struct Line<'a> {
    text: &'a str,
    fields: Vec<&'a str>,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        Line { text, fields: text.split(' ').collect() }
    }

    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Returns the first field, the keyword that identifies the kind of line.
    pub fn keyword(&self) -> &'a str {
        self.fields[0]
    }

    pub fn invalid(&self, field: &'static str, problem: String) -> LineError {
        LineError::Invalid { keyword: self.keyword().to_string(), field, problem }
    }

    pub fn unexpected(&self, expected: &str) -> LineError {
        LineError::Unexpected { keyword: self.keyword().to_string(), expected: expected.to_string() }
    }

    fn missing(&self, field: &'static str) -> LineError {
        LineError::Missing { keyword: self.keyword().to_string(), field }
    }

    /// Returns a field that must not be empty. `field` is its name in errors.
    pub fn text(&self, index: usize, field: &'static str) -> Result<&'a str, LineError> {
        let text = self.fields.get(index).copied().filter(|text| !text.is_empty());
        text.ok_or_else(|| self.missing(field))
    }

    /// Returns a field, or `None` if it is `-`, empty or missing.
    pub fn optional(&self, index: usize) -> Option<&'a str> {
        self.fields.get(index).copied().filter(|text| *text != "-" && !text.is_empty())
    }

    /// Returns a field as an integer.
    pub fn integer<T: FromStr>(&self, index: usize, field: &'static str) -> Result<T, LineError> {
        let text = self.text(index, field)?;
        text.parse().map_err(|_| self.invalid(field, format!("not a whole number in range: {text:?}")))
    }

    /// Returns a field as a finite number.
    pub fn number(&self, index: usize, field: &'static str) -> Result<f64, LineError> {
        self.parse_number(self.text(index, field)?, field)
    }

    /// Parses a finite number.
    pub fn parse_number(&self, text: &str, field: &'static str) -> Result<f64, LineError> {
        let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
        number.ok_or_else(|| self.invalid(field, format!("not a number: {text:?}")))
    }

    /// Returns a field as a finite number, or `None` if it is `-`, empty or missing.
    pub fn optional_number(&self, index: usize, field: &'static str) -> Result<Option<f64>, LineError> {
        self.optional(index).map(|text| self.parse_number(text, field)).transpose()
    }

    /// Returns a field as a flag: `1` is true, `0` and `-` are false.
    pub fn flag(&self, index: usize, field: &'static str) -> Result<bool, LineError> {
        match self.text(index, field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(self.invalid(field, format!("neither 1 nor 0: {other:?}"))),
        }
    }

    /// Returns the rest of the line, beginning with a field.
    pub fn rest(&self, index: usize, field: &'static str) -> Result<&'a str, LineError> {
        let text = self.text.splitn(index + 1, ' ').nth(index).filter(|text| !text.is_empty());
        text.ok_or_else(|| self.missing(field))
    }
}
