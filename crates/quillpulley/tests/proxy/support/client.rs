//! A client's connection.

use super::message::{read_chunk, Message};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

pub struct Client {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.expect("connect");
        stream.set_nodelay(true).expect("nodelay");
        let (reader, writer) = stream.into_split();
        Client { reader: BufReader::new(reader), writer }
    }

    pub async fn send(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).await.expect("write");
    }

    /// The next answer, whole.
    pub async fn answer(&mut self) -> Message {
        Message::read(&mut self.reader).await.expect("a whole answer")
    }

    /// The head of the next answer.
    pub async fn head(&mut self) -> Message {
        Message::read_head(&mut self.reader).await.expect("a head")
    }

    /// The head of the next answer, or none where the connection ends first.
    pub async fn try_head(&mut self) -> Option<Message> {
        Message::read_head(&mut self.reader).await
    }

    /// The body of an answer whose head says how long it is.
    pub async fn body(&mut self, head: &Message) -> Vec<u8> {
        let length = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).await.expect("a whole body");
        body
    }

    /// The next chunk of an answer, `Some(None)` at its proper end, and none where it is truncated.
    pub async fn try_chunk(&mut self) -> Option<Option<String>> {
        let chunk = read_chunk(&mut self.reader).await?;
        Some(chunk.map(|chunk| String::from_utf8_lossy(&chunk).into_owned()))
    }

    /// The next chunk of an answer, or none at its proper end. Panics where it is truncated.
    pub async fn chunk(&mut self) -> Option<String> {
        let chunk = read_chunk(&mut self.reader).await.expect("a chunk or the end");
        chunk.map(|chunk| String::from_utf8_lossy(&chunk).into_owned())
    }

    /// Whether the answer is truncated here.
    pub async fn breaks_off(&mut self) -> bool {
        read_chunk(&mut self.reader).await.is_none()
    }

    /// Whether the connection is closed, with nothing left to read.
    pub async fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).await.is_err() || rest.is_empty()
    }

    /// Sends a request and waits for the whole answer.
    pub async fn ask(&mut self, request: &str) -> Message {
        self.send(request).await;
        self.answer().await
    }
}

/// A request with the usual headers and more, each ending with a line break.
pub fn request(line: &str, id: &str, headers: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nQuillpulley-Request-Id: {id}\r\n{length}{headers}\r\n{body}"
    )
}
