//! A fake server whose responses the test writes.

use super::message::Message;
use quillpulley_protocol as protocol;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;

/// A server that hands every request that it receives to the test.
pub struct FakeServer {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    calls: UnboundedReceiver<Call>,
}

struct Connection {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

/// A request that a server received, with its connection.
pub struct Call {
    pub request: Message,
    connection: Connection,
    /// Returns the connection to the server, which reads the next request from it.
    idle_sender: UnboundedSender<Connection>,
}

impl FakeServer {
    pub async fn start(id: &str, service: &str) -> FakeServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (calls_sender, calls) = unbounded_channel();
        let (idle_sender, mut idle) = unbounded_channel();
        spawn_local(async move {
            loop {
                let connection = tokio::select! {
                    accepted = listener.accept() => Connection::new(accepted.expect("accept").0),
                    Some(connection) = idle.recv() => connection,
                };
                spawn_local(read_request(connection, calls_sender.clone(), idle_sender.clone()));
            }
        });
        FakeServer { id: id.to_string(), service: service.to_string(), address, calls }
    }

    /// Returns the entry of the server in the published state.
    pub fn entry(&self) -> protocol::Server {
        entry(&self.id, &self.service, self.address)
    }

    /// Waits for the next request.
    pub async fn next_call(&mut self) -> Call {
        self.calls.recv().await.expect("a request")
    }

    /// Returns whether the server has received a request that the test has not taken.
    pub fn has_call(&mut self) -> bool {
        !self.calls.is_empty()
    }
}

/// Returns the published entry of a server with 64 slots.
pub fn entry(id: &str, service: &str, address: SocketAddr) -> protocol::Server {
    protocol::Server {
        id: id.to_string(),
        service: service.to_string(),
        address: address.to_string(),
        zone: "a".to_string(),
        slots: 64,
        state: protocol::ServerState::Ready,
        warmup_remaining_ms: 0,
        time_remaining_ms: 0,
        has_time_remaining: false,
    }
}

async fn read_request(
    mut connection: Connection,
    calls: UnboundedSender<Call>,
    idle_sender: UnboundedSender<Connection>,
) {
    if let Some(request) = Message::read(&mut connection.reader).await {
        let _ = calls.send(Call { request, connection, idle_sender });
    }
}

impl Connection {
    fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).expect("nodelay");
        let (reader, writer) = stream.into_split();
        Connection { reader: BufReader::new(reader), writer }
    }
}

impl Call {
    pub fn id(&self) -> &str {
        self.request.header("quillpulley-request-id").expect("an id")
    }

    /// Writes raw bytes to the connection.
    pub async fn write(&mut self, text: &str) {
        self.connection.writer.write_all(text.as_bytes()).await.expect("write");
    }

    /// Responds with 200 and a seal, and keeps the connection open.
    pub async fn respond_ok(self, body: &str) {
        self.respond("200 OK", "Quillpulley-Response-Seal: seal\r\n", body).await;
    }

    /// Responds, and keeps the connection open.
    pub async fn respond(mut self, status: &str, headers: &str, body: &str) {
        let text = format!("{}{body}", self.head_text(status, headers, Some(body.len())));
        self.write(&text).await;
        let _ = self.idle_sender.send(self.connection);
    }

    /// Responds to a health check, which has no request id, and keeps the connection open.
    pub async fn respond_to_health_check(mut self, status: &str, headers: &str) {
        self.write(&format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{headers}\r\n")).await;
        let _ = self.idle_sender.send(self.connection);
    }

    /// Writes the head of a chunked stream of events.
    pub async fn begin_stream(&mut self) {
        let head = self.head_text(
            "200 OK",
            "Quillpulley-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n",
            None,
        );
        self.write(&head).await;
    }

    pub async fn write_chunk(&mut self, text: &str) {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len())).await;
    }

    /// Writes this chunk repeatedly until the proxy closes the connection.
    pub async fn write_until_closed(mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        while self.connection.writer.write_all(chunk.as_bytes()).await.is_ok() {}
    }

    /// Writes the last chunk, and keeps the connection open.
    pub async fn end_stream(mut self) {
        self.write("0\r\n\r\n").await;
        let _ = self.idle_sender.send(self.connection);
    }

    /// Closes the connection with a FIN.
    pub fn close(self) {}

    /// Closes the connection with a RST.
    pub fn reset(self) {
        let Connection { reader, writer } = self.connection;
        let stream = reader.into_inner().reunite(writer).expect("two halves of one stream");
        socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO)).expect("linger");
    }

    /// Waits until the proxy closes the connection. Panics if it sends more data before.
    pub async fn wait_until_closed(mut self) {
        let mut rest = Vec::new();
        let _ = self.connection.reader.read_to_end(&mut rest).await;
        assert!(rest.is_empty(), "the proxy sent more data: {}", String::from_utf8_lossy(&rest));
    }

    /// Returns the head of a response. For `length` `None` its body is chunked.
    fn head_text(&self, status: &str, headers: &str, length: Option<usize>) -> String {
        let framing = match length {
            Some(length) => format!("Content-Length: {length}\r\n"),
            None => "Transfer-Encoding: chunked\r\n".to_string(),
        };
        let id = if headers.contains("Request-Id") {
            String::new()
        } else {
            format!("Quillpulley-Request-Id: {}\r\n", self.id())
        };
        format!("HTTP/1.1 {status}\r\n{id}{framing}{headers}\r\n")
    }
}
