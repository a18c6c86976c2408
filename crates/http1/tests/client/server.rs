//! A server that runs a script on each connection. Each word of a script is a step.
//!
//! | word | step |
//! | --- | --- |
//! | `head`, `body`, `request` | reads the head of a request, its body, or both |
//! | `ok` | responds with 200 and `Content-Length` |
//! | `chunked` | responds with 200 and a chunked body |
//! | `unframed` | responds with 200 and a body that extends to the end of the connection |
//! | `status-204` | responds with 204, which has no body |
//! | `partial-head`, `partial-body`, `partial-chunk` | writes an incomplete response that ends in this part |
//! | `status-103` | writes an informational response (103), which precedes the final response |
//! | `not-http` | writes data that is not HTTP |
//! | `signal` | signals to the test that this step is reached |
//! | `wait` | waits until the test lets the server continue |
//! | `reset`, `close` | resets the connection, or closes it |

use socket2::SockRef;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// The signals between the test and the server, and the requests that the server has read.
pub struct Shared {
    /// One permit for each `signal` step that the server has reached.
    pub signals: Semaphore,
    /// One permit for each `wait` step after which the server may continue.
    pub continue_permits: Semaphore,
    /// The request lines, in lower case.
    pub requests: RefCell<Vec<String>>,
    /// The bodies of the requests.
    pub bodies: RefCell<Vec<Vec<u8>>>,
}

/// Starts a server that runs one of the scripts on each connection, in this order.
pub async fn start(scripts: &'static [&'static str]) -> (SocketAddr, Rc<Shared>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let shared = Rc::new(Shared {
        signals: Semaphore::new(0),
        continue_permits: Semaphore::new(0),
        requests: RefCell::default(),
        bodies: RefCell::default(),
    });
    let shared_by_connections = shared.clone();
    spawn_local(async move {
        for script in scripts {
            let (stream, _) = listener.accept().await.expect("accept");
            stream.set_nodelay(true).expect("nodelay");
            spawn_local(run_script(BufReader::new(stream), script, shared_by_connections.clone()));
        }
    });
    (address, shared)
}

async fn run_script(mut stream: BufReader<TcpStream>, script: &str, shared: Rc<Shared>) {
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
            "wait" => {
                shared.continue_permits.acquire().await.expect("the test lets the server continue").forget()
            }
            "reset" => {
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).expect("linger");
                return drop(stream);
            }
            "close" => return,
            word => {
                let _ = stream.get_mut().write_all(response_bytes(word).as_bytes()).await;
            }
        }
    }
    // The connection stays open until the client has closed it.
    let _ = stream.read_to_end(&mut Vec::new()).await;
}

fn response_bytes(word: &str) -> String {
    let ok = "HTTP/1.1 200 OK\r\n";
    match word {
        "ok" => format!("{ok}Content-Length: 4\r\n\r\ndone"),
        "chunked" => format!("{ok}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"),
        "unframed" => format!("{ok}\r\ndone"),
        "status-204" => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
        "partial-head" => "HTTP/1.1 200 O".to_string(),
        "partial-body" => format!("{ok}Content-Length: 4\r\n\r\ndo"),
        "partial-chunk" => format!("{ok}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"),
        "status-103" => "HTTP/1.1 103 Early Hints\r\n\r\n".to_string(),
        "not-http" => "no HTTP at all\r\n\r\n".to_string(),
        _ => panic!("unknown step: {word}"),
    }
}

/// Reads the head of a request, and returns the length of its body.
async fn read_head(stream: &mut BufReader<TcpStream>, shared: &Shared) -> usize {
    let mut length = 0;
    let mut request_line = String::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.unwrap_or(0) == 0 {
            return 0;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("Content-Length is a number");
        }
        if line.is_empty() {
            break;
        }
        if request_line.is_empty() {
            request_line = line;
        }
    }
    shared.requests.borrow_mut().push(request_line);
    length
}

async fn read_body(stream: &mut BufReader<TcpStream>, length: usize, shared: &Shared) {
    let mut body = vec![0; length];
    if stream.read_exact(&mut body).await.is_ok() {
        shared.bodies.borrow_mut().push(body);
    }
}
