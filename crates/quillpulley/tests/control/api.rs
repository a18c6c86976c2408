//! Tests of the operator API over HTTP. The test takes the place of the main thread and decides the
//! responses.

use quillpulley::control::api::{self, ApiRequest, Operation};
use quillpulley::control::clock::Clock;
use quillpulley::control::commands::Command;
use quillpulley::control::confirmations::ConfirmationId;
use quillpulley::control::response::Response;
use quillpulley::control::response::TimedResponse;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the API. Returns its address and the requests that the test has to answer.
fn start_api() -> (SocketAddr, Receiver<Box<ApiRequest>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind the socket");
    let address = listener.local_addr().expect("no valid address");
    let (send, requests) = mpsc::channel();
    let deliver = move |request| send.send(request).map_err(|rejected| rejected.0);
    api::serve(listener, Clock::start(), deliver).expect("cannot start the server");
    (address, requests)
}

pub struct HttpResponse {
    pub status: u16,
    pub headers: String,
    pub body: String,
}

/// Sends a request and returns the response, which ends when the server closes the connection.
pub fn send(address: SocketAddr, request: &str) -> HttpResponse {
    parse_response(&send_raw(address, request))
}

/// Sends a request and returns the unparsed response, which ends when the server closes the connection.
pub fn send_raw(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("cannot connect");
    stream.set_read_timeout(Some(TIMEOUT)).expect("cannot set the timeout");
    stream.write_all(request.as_bytes()).expect("cannot send the request");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("cannot read the response");
    response
}

fn parse_response(response: &str) -> HttpResponse {
    let (head, body) = response.split_once("\r\n\r\n").expect("the response has no body");
    let status =
        head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("the status is not a number");
    HttpResponse { status, headers: head.to_ascii_lowercase(), body: body.to_string() }
}

pub fn replace_request_text(base: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/Config.Replace HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
         quillpulley-if-config-VERSION: {base}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

pub fn request_text(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

/// Sends a request, expects it to be read as `expected`, and answers it with `response`.
fn exchange(request: String, expected: Operation, response: Response) -> HttpResponse {
    let (address, requests) = start_api();
    let client = std::thread::spawn(move || send(address, &request));
    let request = requests.recv_timeout(TIMEOUT).expect("no request");
    assert_eq!(request.operation, expected);
    request.responder.send(TimedResponse::without_expiry(response));
    client.join().expect("the client thread panicked")
}

fn evacuation(zone: &str, active: bool) -> Operation {
    Operation::Execute(Command::Evacuate { zone: zone.to_string(), active })
}

fn replacement(base: u64, body: &str) -> Operation {
    Operation::Execute(Command::Replace { base, body: body.as_bytes().to_vec() })
}

#[test]
fn requests_are_parsed_and_responses_are_written() {
    let response = exchange(replace_request_text("5", "{}"), replacement(5, "{}"), Response::Acknowledged);
    assert_eq!(response.status, 200);

    let response =
        exchange(replace_request_text(" 0 ", "{}"), replacement(0, "{}"), Response::Conflict { current: 7 });
    assert_eq!(response.status, 412);
    assert!(response.body.contains("version 7"), "{}", response.body);

    let why = "a \"quoted\" reason".to_string();
    let response = exchange(replace_request_text("5", "{}"), replacement(5, "{}"), Response::Invalid(why));
    assert_eq!(response.status, 400);
    assert_eq!(response.body, r#"{"Error":"a \"quoted\" reason"}"#);

    let response = exchange(
        request_text("POST", "/v1/Evacuate.Start/a-1"),
        evacuation("a-1", true),
        Response::Acknowledged,
    );
    assert_eq!(response.status, 200);
    let response = exchange(
        request_text("POST", "/v1/Evacuate.End/a%201"),
        evacuation("a 1", false),
        Response::Acknowledged,
    );
    assert_eq!(response.status, 200);
}

/// The expected bytes are those that the program at commit 0b0971f wrote.
#[test]
fn every_response_is_written_with_the_same_bytes_as_before() {
    let json_response = |status: &str, more: &str, body: &str| {
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
             Connection: close\r\n{more}\r\n{body}"
        )
    };
    let primary: SocketAddr = "10.0.0.4:8080".parse().expect("no valid address");
    let location = "Location: http://10.0.0.4:8080/v1/Evacuate.Start/a\r\n";
    let retry_after = "Retry-After: 0.2\r\n";
    let cases = [
        (Response::Acknowledged, json_response("200 OK", "", "{}")),
        (Response::Configuration(b"{ }".to_vec().into()), json_response("200 OK", "", "{ }")),
        (Response::Status(b"{\"a\":1}".to_vec()), json_response("200 OK", "", "{\"a\":1}")),
        (
            Response::NoConfiguration,
            json_response("404 Not Found", "", r#"{"Error":"no configuration has been taken yet"}"#),
        ),
        (
            Response::Conflict { current: 7 },
            json_response(
                "412 Precondition Failed",
                "",
                r#"{"Error":"version 7 is in place: read it and build on it"}"#,
            ),
        ),
        (
            Response::HistoryExpired { oldest: 9 },
            json_response(
                "503 Service Unavailable",
                retry_after,
                r#"{"Error":"what was taken on versions below 9 is forgotten: read the configuration in force"}"#,
            ),
        ),
        (Response::Invalid("why".to_string()), json_response("400 Bad Request", "", r#"{"Error":"why"}"#)),
        (Response::Redirect(primary), json_response("307 Temporary Redirect", location, "{}")),
        (
            Response::Unavailable,
            json_response(
                "503 Service Unavailable",
                retry_after,
                r#"{"Error":"no primary has confirmed this: send it again"}"#,
            ),
        ),
    ];
    for (response, expected) in cases {
        let (address, requests) = start_api();
        let request = request_text("POST", "/v1/Evacuate.Start/a");
        let client = std::thread::spawn(move || send_raw(address, &request));
        requests
            .recv_timeout(TIMEOUT)
            .expect("no request")
            .responder
            .send(TimedResponse::without_expiry(response.clone()));
        assert_eq!(client.join().expect("the client thread panicked"), expected, "{response:?}");
    }
}

#[test]
fn the_configuration_is_returned_byte_for_byte() {
    let body = format!("{{\"Version\":7,\"x\":\"{}\"}}", "y".repeat(100_000));
    let configuration = Response::Configuration(body.clone().into_bytes().into());
    let response =
        exchange(request_text("GET", "/v1/Config.Get"), Operation::ReadConfiguration, configuration);
    assert_eq!(response.status, 200);
    assert!(response.headers.contains("content-type: application/json"), "{}", response.headers);
    assert!(response.headers.contains(&format!("content-length: {}", body.len())), "{}", response.headers);
    assert_eq!(response.body, body);

    let response = exchange(
        request_text("GET", "/v1/Config.Get"),
        Operation::ReadConfiguration,
        Response::NoConfiguration,
    );
    assert_eq!(response.status, 404);

    let status = Response::Status(br#"{"Role":"follower"}"#.to_vec());
    let response = exchange(request_text("GET", "/v1/Control.Status"), Operation::ReadStatus, status);
    assert_eq!((response.status, response.body.as_str()), (200, r#"{"Role":"follower"}"#));
}

#[test]
fn callers_are_redirected_to_the_primary_or_get_retry_after() {
    let primary: SocketAddr = "10.0.0.4:8080".parse().expect("no valid address");
    let path = "/v1/Evacuate.Start/a";
    let response = exchange(request_text("POST", path), evacuation("a", true), Response::Redirect(primary));
    assert_eq!(response.status, 307);
    assert!(
        response.headers.contains("location: http://10.0.0.4:8080/v1/evacuate.start/a"),
        "{}",
        response.headers
    );

    let response = exchange(request_text("POST", path), evacuation("a", true), Response::Unavailable);
    assert_eq!(response.status, 503);
    assert!(response.headers.contains("retry-after: 0.2"), "{}", response.headers);
}

#[test]
fn an_expired_history_gets_503_and_the_oldest_version() {
    let response = exchange(
        replace_request_text("5", "{}"),
        replacement(5, "{}"),
        Response::HistoryExpired { oldest: 9 },
    );
    assert_eq!(response.status, 503);
    assert!(response.body.contains("below 9 is forgotten"), "{}", response.body);
    assert!(response.headers.contains("retry-after: 0.2"), "{}", response.headers);
}

#[test]
fn a_request_that_cannot_be_delivered_gets_503() {
    let (address, requests) = start_api();
    drop(requests);
    assert_eq!(send(address, &request_text("POST", "/v1/Evacuate.Start/a")).status, 503);
}

#[test]
fn other_paths_and_methods_are_rejected() {
    let (address, requests) = start_api();
    assert_eq!(send(address, &request_text("GET", "/v1/Config.Put")).status, 404);
    assert_eq!(send(address, &request_text("GET", "/v2/Config.Get")).status, 404);
    assert_eq!(send(address, &request_text("GET", "/v1/Config.Replace")).status, 405);
    assert_eq!(send(address, &request_text("POST", "/v1/Config.Get")).status, 405);
    assert_eq!(send(address, &request_text("GET", "/v1/Evacuate.Start/a")).status, 405);
    assert_eq!(send(address, &request_text("POST", "/v1/Evacuate.Start/")).status, 400);
    assert_eq!(send(address, &replace_request_text("new", "{}")).status, 400);
    assert!(requests.try_recv().is_err());
}

#[test]
fn a_body_that_is_too_long_is_rejected() {
    let (address, requests) = start_api();
    let head = "POST /v1/Config.Replace HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
                Quillpulley-If-Config-Version: 1\r\n";
    let response = send(address, &format!("{head}Content-Length: 4500001\r\n\r\n{}", "x".repeat(4_500_001)));
    assert_eq!(response.status, 413);
    assert!(requests.try_recv().is_err());
}

#[test]
fn a_chunked_body_is_accepted_complete() {
    let request = "POST /v1/Config.Replace HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
                   Quillpulley-If-Config-Version: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
                   3\r\n{\"a\r\n4\r\n\":1}\r\n0\r\n\r\n";
    let response = exchange(request.to_string(), replacement(1, "{\"a\":1}"), Response::Acknowledged);
    assert_eq!(response.status, 200);
}

#[test]
fn a_truncated_body_is_never_accepted() {
    let (address, requests) = start_api();
    for (length, body) in [(3000, "{}".to_string()), (500, "{}".to_string()), (3000, "x".repeat(2999))] {
        let mut stream = TcpStream::connect(address).expect("cannot connect");
        stream.set_read_timeout(Some(TIMEOUT)).expect("cannot set the timeout");
        let request =
            replace_request_text("1", "").replace("Content-Length: 0", &format!("Content-Length: {length}"));
        stream.write_all(format!("{request}{body}").as_bytes()).expect("cannot send the request");
        stream.shutdown(std::net::Shutdown::Write).expect("cannot shut down the connection");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).expect("cannot read the response");
        let response = String::from_utf8_lossy(&response);
        assert!(!response.starts_with("HTTP/1.1 2") && !response.starts_with("HTTP/1.1 4"), "{response}");
    }
    assert!(requests.try_recv().is_err());
}

#[test]
fn a_stalled_caller_does_not_delay_others() {
    let (address, requests) = start_api();
    let mut stalled = TcpStream::connect(address).expect("cannot connect");
    stalled
        .write_all(b"POST /v1/Config.Replace HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n{")
        .expect("cannot send the request");
    let first_client =
        std::thread::spawn(move || send(address, &request_text("POST", "/v1/Evacuate.Start/a")));
    let first_request = requests.recv_timeout(TIMEOUT).expect("no request");
    // The second request is answered while the first one is still waiting for its response.
    let second_client =
        std::thread::spawn(move || send(address, &request_text("POST", "/v1/Evacuate.Start/b")));
    requests
        .recv_timeout(TIMEOUT)
        .expect("no request")
        .responder
        .send(TimedResponse::without_expiry(Response::Acknowledged));
    assert_eq!(second_client.join().expect("the client thread panicked").status, 200);
    first_request.responder.send(TimedResponse::without_expiry(Response::Acknowledged));
    assert_eq!(first_client.join().expect("the client thread panicked").status, 200);
}

/// Guards against bodies that stop halfway and keep all other callers from being heard.
#[test]
fn many_stalled_bodies_do_not_delay_others() {
    let (address, requests) = start_api();
    let stalled: Vec<TcpStream> = (0..64)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("cannot connect");
            let head = replace_request_text("1", "").replace("Content-Length: 0", "Content-Length: 2000");
            stream
                .write_all(format!("{head}{}", "x".repeat(700)).as_bytes())
                .expect("cannot send the request");
            stream
        })
        .collect();
    let client = std::thread::spawn(move || send(address, &request_text("GET", "/v1/Config.Get")));
    let request = requests.recv_timeout(TIMEOUT).expect("no request");
    assert_eq!(request.operation, Operation::ReadConfiguration);
    request.responder.send(TimedResponse::without_expiry(Response::NoConfiguration));
    assert_eq!(client.join().expect("the client thread panicked").status, 404);
    drop(stalled);
}

/// Guards against callers that do not read their answers and keep all other callers from being answered.
#[test]
fn unread_responses_do_not_delay_others() {
    let (address, requests) = start_api();
    let long = Response::Configuration(vec![b'x'; 16_000_000].into());
    let unread: Vec<TcpStream> = (0..8)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("cannot connect");
            stream
                .write_all(request_text("GET", "/v1/Config.Get").as_bytes())
                .expect("cannot send the request");
            let request = requests.recv_timeout(TIMEOUT).expect("no request");
            request.responder.send(TimedResponse::without_expiry(long.clone()));
            stream
        })
        .collect();
    let client = std::thread::spawn(move || send(address, &request_text("GET", "/v1/Config.Get")));
    let request = requests.recv_timeout(TIMEOUT).expect("no request");
    request.responder.send(TimedResponse::without_expiry(Response::NoConfiguration));
    assert_eq!(client.join().expect("the client thread panicked").status, 404);
    drop(unread);
}

/// Guards against orders that are executed although their callers have closed their connections.
#[test]
fn a_caller_that_closes_its_connection_is_noticed_before_its_order_is_decided() {
    let (address, requests) = start_api();
    let mut caller = TcpStream::connect(address).expect("cannot connect");
    caller.write_all(request_text("POST", "/v1/Evacuate.End/a").as_bytes()).expect("cannot send the request");
    let request = requests.recv_timeout(TIMEOUT).expect("no request");
    assert!(!request.responder.caller_has_gone());
    drop(caller);
    // The main thread asks at the moment of deciding, when the thread of the API may not have noticed yet.
    assert!(request.responder.caller_has_gone());
}

/// Guards against late copies of orders, which arrive with the end of their connection right behind them.
#[test]
fn an_order_with_the_end_of_its_connection_right_behind_it_is_not_delivered() {
    let (address, requests) = start_api();
    for _ in 0..20 {
        let mut caller = TcpStream::connect(address).expect("cannot connect");
        caller
            .write_all(request_text("POST", "/v1/Evacuate.End/a").as_bytes())
            .expect("cannot send the request");
        drop(caller);
    }
    let client = std::thread::spawn(move || send(address, &request_text("POST", "/v1/Evacuate.Start/b")));
    let request = requests.recv_timeout(TIMEOUT).expect("no request");
    assert_eq!(request.operation, evacuation("b", true));
    request.responder.send(TimedResponse::without_expiry(Response::Acknowledged));
    assert_eq!(client.join().expect("the client thread panicked").status, 200);
    assert!(requests.try_recv().is_err());
}

/// Sends an order on an open connection, and returns the request that the main thread gets.
fn order(caller: &mut TcpStream, requests: &Receiver<Box<ApiRequest>>) -> Box<ApiRequest> {
    let text = request_text("POST", "/v1/Evacuate.End/a").replace("Connection: close\r\n", "");
    caller.write_all(text.as_bytes()).expect("cannot send the request");
    requests.recv_timeout(TIMEOUT).expect("no request")
}

/// Reads a response, which ends its connection even if its caller would keep it.
fn read_response(mut caller: TcpStream) -> String {
    caller.set_read_timeout(Some(TIMEOUT)).expect("cannot set the timeout");
    let mut response = String::new();
    caller.read_to_string(&mut response).expect("cannot read the response");
    response
}

fn require_confirmation(request: ApiRequest, number: u64) {
    let response = Response::ConfirmationRequired(ConfirmationId(number));
    request.responder.send(TimedResponse::without_expiry(response));
}

#[test]
fn an_order_that_has_to_be_confirmed_is_redirected_to_the_same_node() {
    let (address, requests) = start_api();
    let mut caller = TcpStream::connect(address).expect("cannot connect");
    require_confirmation(*order(&mut caller, &requests), 7);
    let response = read_response(caller);
    assert!(response.starts_with("HTTP/1.1 307 "), "{response}");
    let location = format!("Location: http://{address}/v1/Evacuate.End/a\r\n");
    assert!(response.contains(&location), "{response}");
}

/// Guards against late copies of orders that are taken for confirmed, and against callers that confirm in vain.
#[test]
fn orders_are_known_to_be_sent_after_a_request_for_confirmation_by_their_connection() {
    let (address, requests) = start_api();
    let mut early: Vec<TcpStream> =
        (0..3).map(|_| TcpStream::connect(address).expect("cannot connect")).collect();
    for number in [1, 2, 5] {
        let mut caller = TcpStream::connect(address).expect("cannot connect");
        let request = order(&mut caller, &requests);
        assert!(request.receipt.sent_after < ConfirmationId(number));
        require_confirmation(*request, number);
        read_response(caller);
        let mut confirming = TcpStream::connect(address).expect("cannot connect");
        assert_eq!(order(&mut confirming, &requests).receipt.sent_after, ConfirmationId(number));
        let mut early = early.pop().expect("a connection");
        assert_eq!(order(&mut early, &requests).receipt.sent_after, ConfirmationId(0));
    }
}

/// Guards against late copies whose connections have waited in the kernel's queue while the process did not run.
#[test]
fn connections_that_waited_to_be_accepted_were_opened_before_a_request_for_confirmation() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind the socket");
    let address = listener.local_addr().expect("no valid address");
    let (send_request, requests) = mpsc::channel();
    let (resume, suspended) = mpsc::channel();
    let deliver = move |request: Box<ApiRequest>| {
        send_request.send(request).map_err(|rejected: mpsc::SendError<_>| rejected.0)?;
        // The thread that accepts connections does not run until the test lets it.
        suspended.recv().expect("the test has ended");
        Ok(())
    };
    api::serve(listener, Clock::start(), deliver).expect("cannot start the server");
    let mut first = TcpStream::connect(address).expect("cannot connect");
    let request = order(&mut first, &requests);
    let mut waiting: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(address).expect("cannot connect")).collect();
    require_confirmation(*request, 1);
    resume.send(()).expect("the server has ended");
    read_response(first);
    for caller in &mut waiting {
        assert_eq!(order(caller, &requests).receipt.sent_after, ConfirmationId(0));
        resume.send(()).expect("the server has ended");
    }
    let mut later = TcpStream::connect(address).expect("cannot connect");
    assert_eq!(order(&mut later, &requests).receipt.sent_after, ConfirmationId(1));
    resume.send(()).expect("the server has ended");
}

/// Guards against callers that end their sending, still read, and get no answer.
#[test]
fn a_caller_that_has_ended_its_sending_gets_its_answer() {
    let (address, requests) = start_api();
    let mut caller = TcpStream::connect(address).expect("cannot connect");
    caller.set_read_timeout(Some(TIMEOUT)).expect("cannot set the timeout");
    caller.write_all(request_text("GET", "/v1/Config.Get").as_bytes()).expect("cannot send the request");
    caller.shutdown(std::net::Shutdown::Write).expect("cannot shut down the connection");
    let request = requests.recv_timeout(TIMEOUT).expect("no request");
    request.responder.send(TimedResponse::without_expiry(Response::NoConfiguration));
    let mut response = String::new();
    caller.read_to_string(&mut response).expect("cannot read the response");
    assert_eq!(parse_response(&response).status, 404);
}

/// Guards against a process that ends before its answers are written.
#[test]
fn a_response_counts_as_unwritten_until_its_last_byte_was_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind the socket");
    let address = listener.local_addr().expect("no valid address");
    let (send_request, requests) = mpsc::channel();
    let deliver =
        move |request| send_request.send(request).map_err(|rejected: mpsc::SendError<_>| rejected.0);
    let unwritten = api::serve(listener, Clock::start(), deliver).expect("cannot start the server");
    let mut caller = TcpStream::connect(address).expect("cannot connect");
    caller.write_all(request_text("GET", "/v1/Config.Get").as_bytes()).expect("cannot send the request");
    let request = requests.recv_timeout(TIMEOUT).expect("no request");
    let long = Response::Configuration(vec![b'x'; 16_000_000].into());
    request.responder.send(TimedResponse::without_expiry(long));
    let mut first = [0];
    caller.read_exact(&mut first).expect("cannot read the response");
    assert!(!unwritten.is_empty());
    caller.read_to_end(&mut Vec::new()).expect("cannot read the response");
    let started = std::time::Instant::now();
    while !unwritten.is_empty() {
        assert!(started.elapsed() < TIMEOUT, "the response counts as unwritten for ever");
        std::thread::yield_now();
    }
}
