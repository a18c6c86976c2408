//! Parsing of the platform's list of servers, page by page.

use displaydoc::Display;
use quillpulley_protocol::{Server, ServerState};
use simd_json::prelude::*;
use simd_json::BorrowedValue;

/// A page of the list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Page {
    /// The servers that could be parsed.
    pub servers: Vec<Server>,
    /// The ids of the entries that could not be parsed; an empty string for an entry without an id.
    pub unreadable: Vec<String>,
    /// The token of the next page; `None` on the last page.
    pub next_token: Option<String>,
}

/// A complete reading of the list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reading {
    /// The servers on the list.
    pub servers: Vec<Server>,
    /// The ids of the entries that could not be parsed. What was published for these servers stays published.
    pub unreadable: Vec<String>,
}

/// The reason why a page cannot be parsed.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum PageError {
    /// the list is not valid JSON ({0}): check the platform's address in the settings file
    NotJson(String),
    /// the list lacks {0}: check that the platform uses this version of the protocol
    Missing(&'static str),
}

impl std::error::Error for PageError {}

/// Parses a page. Entries that lack a required field are reported as unreadable; unknown fields are ignored.
///
/// # Errors
/// [`PageError`] if `body` is not a page of this protocol.
pub fn parse_page(body: &mut [u8]) -> Result<Page, PageError> {
    let value = simd_json::to_borrowed_value(body).map_err(|error| PageError::NotJson(error.to_string()))?;
    let entries = value.get_array("Instances").ok_or(PageError::Missing("Instances"))?;
    let mut page = Page { next_token: parse_token(&value)?, ..Page::default() };
    for entry in entries {
        match parse_server(entry) {
            Some(server) => page.servers.push(server),
            None => page.unreadable.push(entry.get_str("Id").unwrap_or_default().to_string()),
        }
    }
    Ok(page)
}

fn parse_token(page: &BorrowedValue<'_>) -> Result<Option<String>, PageError> {
    match page.get("NextToken") {
        None => Ok(None),
        Some(token) if token.is_null() => Ok(None),
        Some(token) => {
            let token = token.as_str().ok_or(PageError::Missing("a NextToken that is a string or null"))?;
            Ok(Some(token.to_string()).filter(|token| !token.is_empty()))
        }
    }
}

fn parse_server(entry: &BorrowedValue<'_>) -> Option<Server> {
    let text = |name: &str| entry.get_str(name).filter(|text| !text.is_empty()).map(str::to_string);
    let time_remaining = entry.get("TimeLeftMs").and_then(as_u32);
    Some(Server {
        id: text("Id")?,
        service: text("Service")?,
        address: text("Address")?,
        zone: text("Zone")?,
        slots: entry.get("Slots").and_then(as_u32).unwrap_or(1).max(1),
        state: parse_state(entry.get_str("State")?)?,
        warmup_remaining_ms: entry.get("WarmupLeftMs").and_then(as_u32).unwrap_or(0),
        time_remaining_ms: time_remaining.unwrap_or(0),
        has_time_remaining: time_remaining.is_some(),
    })
}

/// Parses a server state. The platform defines `ready` and `draining`; any other state except an empty one
/// counts as draining, so that the server gets no new requests.
fn parse_state(state: &str) -> Option<ServerState> {
    match state {
        "ready" => Some(ServerState::Ready),
        "" => None,
        _ => Some(ServerState::Draining),
    }
}

/// Returns a non-negative number as an integer, rounded down and limited to [`u32::MAX`]; `None` for a
/// negative number or any other value.
fn as_u32(value: &BorrowedValue<'_>) -> Option<u32> {
    let number = value.cast_f64()?;
    (number >= 0.0).then(|| number.min(f64::from(u32::MAX)) as u32)
}
