//! A server that plays a script on each connection, a word a step.
//!
//! | word | step |
//! | --- | --- |
//! | `head`, `body`, `request` | reads a part of a request, or all of it |
//! | `ok`, `chunked`, `bare`, `empty` | answers: with a length, in chunks, with no length, with 204 |
//! | `half-head`, `half-body`, `half-chunk` | begins an answer |
//! | `hint`, `noise` | an answer before the answer, no HTTP |
//! | `signal`, `wait` | tells the test that it got so far, waits until the test says so |
//! | `reset`, `close` | ends the connection |

use socket2::SockRef;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// What the test and the server signal each other, and what the server got.
pub struct Shared {
    /// A permit for each `signal` of the script.
    pub signals: Semaphore,
    /// As often as the server may go on.
    pub go_on: Semaphore,
    /// The first lines of the requests.
    pub requests: RefCell<Vec<String>>,
    /// The bodies of the requests.
    pub bodies: RefCell<Vec<Vec<u8>>>,
}

/// Starts a server whose connections play these scripts, one each.
pub async fn start(scripts: &'static [&'static str]) -> (SocketAddr, Rc<Shared>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let shared = Rc::new(Shared {
        signals: Semaphore::new(0),
        go_on: Semaphore::new(0),
        requests: RefCell::default(),
        bodies: RefCell::default(),
    });
    let seen = shared.clone();
    spawn_local(async move {
        for script in scripts {
            let (stream, _) = listener.accept().await.expect("accept");
            stream.set_nodelay(true).expect("nodelay");
            spawn_local(play(BufReader::new(stream), script, seen.clone()));
        }
    });
    (address, shared)
}

async fn play(mut stream: BufReader<TcpStream>, script: &str, shared: Rc<Shared>) {
    let mut length = 0;
    for word in script.split_whitespace() {
        match word {
            "head" => length = read_head(&mut stream, &shared).await,
            "body" => read_body(&mut stream, std::mem::take(&mut length), &shared).await,
            "request" => {
                let length = read_head(&mut stream, &shared).await;
                read_body(&mut stream, length, &shared).await;
            }
            "signal" => shared.signals.add_permits(1),
            "wait" => shared.go_on.acquire().await.expect("the test goes on").forget(),
            "reset" => {
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).expect("linger");
                return drop(stream);
            }
            "close" => return,
            word => {
                let _ = stream.get_mut().write_all(body_timeout(word).as_bytes()).await;
            }
        }
    }
    // Open until the other side has closed it.
    let _ = stream.read_to_end(&mut Vec::new()).await;
}

fn body_timeout(word: &str) -> String {
    let ok = "HTTP/1.1 200 OK\r\n";
    match word {
        "ok" => format!("{ok}Content-Length: 4\r\n\r\ndone"),
        "chunked" => format!("{ok}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"),
        "bare" => format!("{ok}\r\ndone"),
        "empty" => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
        "half-head" => "HTTP/1.1 200 O".to_string(),
        "half-body" => format!("{ok}Content-Length: 4\r\n\r\ndo"),
        "half-chunk" => format!("{ok}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"),
        "hint" => "HTTP/1.1 103 Early Hints\r\n\r\n".to_string(),
        "noise" => "no HTTP at all\r\n\r\n".to_string(),
        _ => panic!("no step: {word}"),
    }
}

/// Gives the length of the body.
async fn read_head(stream: &mut BufReader<TcpStream>, shared: &Shared) -> usize {
    let mut length = 0;
    let mut first = String::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.unwrap_or(0) == 0 {
            return 0;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        if line.is_empty() {
            break;
        }
        if first.is_empty() {
            first = line;
        }
    }
    shared.requests.borrow_mut().push(first);
    length
}

async fn read_body(stream: &mut BufReader<TcpStream>, length: usize, shared: &Shared) {
    let mut body = vec![0; length];
    if stream.read_exact(&mut body).await.is_ok() {
        shared.bodies.borrow_mut().push(body);
    }
}
