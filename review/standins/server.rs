//! The stand-ins for the platform's list and for sound servers.

use crate::http::{read_body, read_head};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub zone: &'static str,
}

/// The requests that all servers have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Returns an entry of the platform's list.
pub fn entry(id: &str, service: &str, address: SocketAddr, zone: &str, slots: u32) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
         \"Slots\":{slots},\"State\":\"ready\",\"WarmupLeftMs\":0,\"Id\":\"{id}\"}}"
    )
}

pub fn start_platform(address: SocketAddr, instances: Arc<Mutex<Vec<String>>>) {
    serve(address, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            read_head(&mut reader)?;
            let entries = instances.lock().expect("no thread panicked").join(",");
            let body = format!("{{\"Instances\":[{entries}],\"NextToken\":null}}");
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
    });
}

/// A sound server: it runs each request for `work` and answers with `answer_bytes` bytes.
#[derive(Clone)]
pub struct Server {
    pub id: &'static str,
    pub zone: &'static str,
    pub work: Duration,
    pub answer_bytes: usize,
    pub runs: Runs,
    pub record: Record,
}

impl Server {
    pub fn start(self, address: SocketAddr) {
        serve(address, move |stream| self.serve_connection(stream));
    }

    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let head = read_head(&mut reader)?;
            read_body(&mut reader, &head)?;
            if head.first_line.starts_with("GET /health ") {
                let id = self.id;
                let response =
                    format!("HTTP/1.1 200 OK\r\nQuillpulley-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                writer.write_all(response.as_bytes()).ok()?;
                continue;
            }
            let request = head.header("quillpulley-request-id").unwrap_or_default().to_string();
            if head.header("quillpulley-expect-instance").is_some_and(|id| id != self.id) {
                let response = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nQuillpulley-Request-Id: {request}\r\n\
                     Quillpulley-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(response.as_bytes()).ok()?;
                continue;
            }
            let at = self.record.now();
            self.record.line(&format!("server {} in {} runs {request}", self.id, self.zone));
            let run = Run { at, zone: self.zone };
            self.runs.lock().expect("no thread panicked").push(run);
            thread::sleep(self.work);
            let response = format!(
                "HTTP/1.1 200 OK\r\nQuillpulley-Request-Id: {request}\r\n\
                 Quillpulley-Response-Seal: seal.{}.{request}\r\nContent-Length: {}\r\n\r\n",
                self.id, self.answer_bytes
            );
            writer.write_all(response.as_bytes()).ok()?;
            writer.write_all(&vec![b'a'; self.answer_bytes]).ok()?;
            self.record.line(&format!("server {} has answered {request} whole", self.id));
        }
    }
}

/// Serves each connection to `address` in a thread of its own, until the process ends.
pub fn serve<F>(address: SocketAddr, handle: F)
where
    F: Fn(TcpStream) -> Option<()> + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address).expect("a free port");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}
