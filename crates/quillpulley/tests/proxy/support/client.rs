//! A fake client.

use super::message::{read_chunk, Message};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

/// A connection of a client to the proxy.
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

    /// Reads the next response completely.
    pub async fn read_response(&mut self) -> Message {
        Message::read(&mut self.reader).await.expect("a complete response")
    }

    /// Reads the head of the next response.
    pub async fn read_head(&mut self) -> Message {
        Message::read_head(&mut self.reader).await.expect("a response head")
    }

    /// Reads the head of the next response. `None` if the connection ends first.
    pub async fn try_read_head(&mut self) -> Option<Message> {
        Message::read_head(&mut self.reader).await
    }

    /// Reads the body of a response with `Content-Length`.
    pub async fn read_body(&mut self, head: &Message) -> Vec<u8> {
        let length = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).await.expect("a complete body");
        body
    }

    /// Reads the next chunk of a response. `Some(None)` if the response is complete, `None` if it is
    /// truncated.
    pub async fn try_read_chunk(&mut self) -> Option<Option<String>> {
        let chunk = read_chunk(&mut self.reader).await?;
        Some(chunk.map(|chunk| String::from_utf8_lossy(&chunk).into_owned()))
    }

    /// Reads the next chunk of a response. `None` if the response is complete. Panics if it is truncated.
    pub async fn read_chunk(&mut self) -> Option<String> {
        let chunk = read_chunk(&mut self.reader).await.expect("a chunk or the end of the response");
        chunk.map(|chunk| String::from_utf8_lossy(&chunk).into_owned())
    }

    /// Reads on, and returns whether the response is truncated here.
    pub async fn is_truncated(&mut self) -> bool {
        read_chunk(&mut self.reader).await.is_none()
    }

    /// Waits until the proxy closes the connection. Returns whether it sent no more data.
    pub async fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).await.is_err() || rest.is_empty()
    }

    /// Sends a request and reads the complete response.
    pub async fn fetch(&mut self, request: &str) -> Message {
        self.send(request).await;
        self.read_response().await
    }
}

/// Returns a request with a host, an id and, unless the body is empty, `Content-Length`. Each of the
/// additional headers must end with a line break.
pub fn request(line: &str, id: &str, headers: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nQuillpulley-Request-Id: {id}\r\n{length}{headers}\r\n{body}"
    )
}
