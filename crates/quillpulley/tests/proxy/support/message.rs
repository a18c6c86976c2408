//! Parses HTTP messages.

use std::fmt::Debug;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// A request or a response. The names of headers are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns all values of a header, in their order.
    pub fn header_values(&self, name: &str) -> Vec<&str> {
        self.headers.iter().filter(|(n, _)| n == name).map(|(_, value)| value.as_str()).collect()
    }

    /// Returns the status of a response, or 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads a head. `None` if the connection ends first.
    pub async fn read_head(reader: &mut (impl AsyncBufRead + Unpin)) -> Option<Message> {
        let mut message = Message { first_line: read_line(reader).await?, ..Message::default() };
        loop {
            let line = read_line(reader).await?;
            let Some((name, value)) = line.split_once(':') else { return Some(message) };
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }

    /// Reads a message. `None` if the connection ends before the message is complete.
    pub async fn read(reader: &mut (impl AsyncBufRead + Unpin)) -> Option<Message> {
        let mut message = Message::read_head(reader).await?;
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = read_chunk(reader).await? {
                message.body.extend(chunk);
            }
            return Some(message);
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).await.ok()?;
        Some(message)
    }
}

/// Reads a chunk. `Some(None)` for the empty last chunk, `None` if the connection ends first.
pub async fn read_chunk(reader: &mut (impl AsyncBufRead + Unpin)) -> Option<Option<Vec<u8>>> {
    let length = usize::from_str_radix(&read_line(reader).await?, 16).ok()?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk).await.ok()?;
    read_line(reader).await?;
    Some((length > 0).then_some(chunk))
}

async fn read_line(reader: &mut (impl AsyncBufRead + Unpin)) -> Option<String> {
    let mut line = String::new();
    let read = reader.read_line(&mut line).await.ok()?;
    (read > 0 && line.ends_with('\n')).then(|| line.trim_end().to_string())
}
