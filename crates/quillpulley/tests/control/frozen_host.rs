//! Tests of a control host that is the only control node of its system, and that is suspended at each point
//! between a request and its response. The test sets its clock; its sockets, disk and threads are real.

use crate::api::{replace_request_text, request_text, send, HttpResponse};
use crate::configuration;
use quillpulley::control::api::{self, ApiRequest, Faults};
use quillpulley::control::clock::Clock;
use quillpulley::control::directory::DirectoryHandle;
use quillpulley::control::discovery::fetcher::Fetcher;
use quillpulley::control::replica_host::components::Components;
use quillpulley::control::replica_host::host::ControlHost;
use quillpulley::control::replica_host::storage_thread::{StorageThread, WriteCompletion};
use quillpulley::peer::Peers;
use quillpulley::Settings;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::{Hello, NodeId, PeerKind};
use quillpulley_replication::{FaultTolerance, Options, Replica};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);
/// The time for which the process is suspended, which exceeds every lease.
const FREEZE_MS: u64 = 20_000;
const TICK_MS: u64 = 50;
const IP: Ipv4Addr = Ipv4Addr::LOCALHOST;

static NEXT_FOLDER_NUMBER: AtomicU64 = AtomicU64::new(0);

struct Harness {
    host: ControlHost,
    /// The clock of the main thread, in milliseconds.
    now_ms: Arc<AtomicU64>,
    /// The time in milliseconds by which the clock of the writer threads is ahead of that of the main thread.
    writer_delay_ms: Arc<AtomicU64>,
    api: SocketAddr,
    requests: Receiver<Box<ApiRequest>>,
    completions: Receiver<WriteCompletion>,
    folder: PathBuf,
}

impl Harness {
    /// Starts a host that is the primary and has activated configuration version 5.
    fn start(faults: Faults) -> Self {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("quillpulley-frozen-{}-{number}", std::process::id()));
        let (now_ms, writer_delay_ms) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let clock = host_clock(now_ms.clone(), writer_delay_ms.clone());

        let listener = TcpListener::bind((IP, 0)).expect("cannot bind the socket");
        let api = listener.local_addr().expect("no valid address");
        let (deliver, requests) = mpsc::channel();
        let deliver = move |request| deliver.send(request).map_err(|rejected| rejected.0);
        api::serve_with_faults(listener, clock.clone(), faults, deliver).expect("cannot start the server");

        let (send_completion, completions) = mpsc::channel();
        let deliver = move |completion| drop(send_completion.send(completion));
        let (storage_thread, recovered) =
            StorageThread::open(folder.clone(), deliver).expect("cannot open the folder");
        let me = NodeId::new(IP, 0);
        let options = Options {
            me,
            bootstrap: Some(vec![me]),
            fault_tolerance: FaultTolerance { machines: 0, zones: 0, regions: 0 },
            ..Options::default()
        };
        let replica = Replica::new(options, recovered, ControlState::default(), clock.now());
        let hello = Hello {
            kind: PeerKind::Control,
            node: me,
            name: "core".to_string(),
            zone: "a".to_string(),
            region: "a".to_string(),
            control_address: api.to_string(),
        };
        // A single control node connects to no peer, so its links need no runtime.
        let (peers, _) = Peers::new(hello);
        let components = Components {
            clock,
            me,
            peers,
            replica: replica.expect("cannot start the replica"),
            storage: storage_thread,
            fetcher: Fetcher::start(|_| {}).expect("cannot start the thread"),
            directory: DirectoryHandle::default(),
        };
        let host = ControlHost::new(settings(api, &folder), components);
        let mut harness = Harness { host, now_ms, writer_delay_ms, api, requests, completions, folder };
        let response = harness.request_until_definite(&replace_request_text("0", &configuration_text("5")));
        assert_eq!(response.status, 200);
        harness
    }

    /// Advances the clock by one tick, and handles the writes that complete.
    fn step(&mut self) {
        self.now_ms.fetch_add(TICK_MS, Ordering::SeqCst);
        self.host.tick();
        // A write usually takes far less time than this. A slower one is handled in the next step.
        while let Ok(completion) = self.completions.recv_timeout(Duration::from_millis(20)) {
            self.host.handle_write_completed(completion);
        }
    }

    /// Sends a request from another thread, and lets the host handle it once it has been received.
    fn request(&mut self, request: &str) -> JoinHandle<HttpResponse> {
        let (caller, request) = self.queue(request);
        self.host.handle_request(*request);
        caller
    }

    /// Sends a request from another thread, and returns it once it has been received, without handling it.
    fn queue(&mut self, request: &str) -> (JoinHandle<HttpResponse>, Box<ApiRequest>) {
        let (api, request) = (self.api, request.to_string());
        let caller = thread::spawn(move || send(api, &request));
        (caller, self.requests.recv_timeout(TIMEOUT).expect("no request"))
    }

    /// Sends a request repeatedly until the response is definite, that is, not 503.
    fn request_until_definite(&mut self, request: &str) -> HttpResponse {
        for _ in 0..400 {
            let caller = self.request(request);
            while !caller.is_finished() {
                self.step();
            }
            let response = caller.join().expect("the client thread panicked");
            if response.status != 503 {
                return response;
            }
        }
        panic!("no definite response to {request}");
    }

    fn freeze(&self) {
        self.now_ms.fetch_add(FREEZE_MS, Ordering::SeqCst);
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Returns the clock of the host. The test's own thread, which is the host's main thread, reads `now_ms`; other
/// threads read a time that is later by `writer_delay_ms`.
fn host_clock(now_ms: Arc<AtomicU64>, writer_delay_ms: Arc<AtomicU64>) -> Clock {
    let main_thread = thread::current().id();
    Clock::from_fn(move || {
        let delay_ms =
            if thread::current().id() == main_thread { 0 } else { writer_delay_ms.load(Ordering::SeqCst) };
        Duration::from_millis(now_ms.load(Ordering::SeqCst) + delay_ms)
    })
}

fn settings(api: SocketAddr, folder: &std::path::Path) -> Settings {
    let text = format!(
        "NodeName = \"core\"\nIp = \"{IP}\"\nZone = \"a\"\nRegion = \"a\"\nPortRange = [7720, 7735]\nSeeds = []\n\
         DataDir = \"{}\"\n[Listen]\nControl = \"{api}\"\n[FaultTolerance]\nMachines = 0\n",
        folder.display()
    );
    Settings::parse(&text).expect("invalid settings")
}

fn configuration_text(version: &str) -> String {
    String::from_utf8(configuration(version)).expect("the text is not UTF-8")
}

fn get_request_text() -> String {
    request_text("GET", "/v1/Config.Get")
}

/// Returns requests whose responses depend on the newest state, with their statuses: a read, a command that
/// is already in effect, one with an outdated base version, and an invalid one.
fn lease_dependent_requests() -> Vec<(String, u16)> {
    vec![
        (get_request_text(), 200),
        (replace_request_text("0", &configuration_text("5")), 200),
        (replace_request_text("0", &configuration_text("6")), 412),
        (replace_request_text("5", &configuration_text("4")), 400),
    ]
}

#[test]
fn a_primary_answers_while_its_lease_runs() {
    let mut harness = Harness::start(Faults::default());
    for (request, status) in lease_dependent_requests() {
        assert_eq!(harness.request_until_definite(&request).status, status, "{request}");
    }
}

#[test]
fn calls_that_waited_while_the_process_was_frozen_get_no_definite_response() {
    for (text, _) in lease_dependent_requests() {
        let mut harness = Harness::start(Faults::default());
        let (caller, request) = harness.queue(&text);
        harness.freeze();
        harness.host.handle_request(*request);
        assert_eq!(caller.join().expect("the client thread panicked").status, 503, "{text}");
    }
}

#[test]
fn a_write_that_completed_while_the_process_was_frozen_is_not_acknowledged() {
    let mut harness = Harness::start(Faults::default());
    // No other write is in progress when the command is received.
    harness.step();
    let caller = harness.request(&replace_request_text("5", &configuration_text("7")));
    let completion = harness.completions.recv_timeout(TIMEOUT).expect("no write completed");
    harness.freeze();
    harness.host.handle_write_completed(completion);
    while !caller.is_finished() {
        if let Ok(completion) = harness.completions.recv_timeout(Duration::from_millis(20)) {
            harness.host.handle_write_completed(completion);
        }
    }
    assert_eq!(caller.join().expect("the client thread panicked").status, 503);
    // The command may have taken effect nevertheless: it is acknowledged when it is sent again.
    assert_eq!(
        harness.request_until_definite(&replace_request_text("5", &configuration_text("7"))).status,
        200
    );
}

/// Returns the statuses of the definite responses that are written although the process was suspended after
/// they were decided.
fn statuses_of_late_writers(faults: Faults) -> Vec<u16> {
    let statuses = lease_dependent_requests().into_iter().map(|(request, _)| {
        let mut harness = Harness::start(faults);
        // After this step the lease has just been renewed.
        harness.step();
        harness.writer_delay_ms.store(FREEZE_MS, Ordering::SeqCst);
        harness.request(&request).join().expect("the client thread panicked").status
    });
    statuses.filter(|status| *status != 503).collect()
}

#[test]
fn responses_that_are_written_after_a_freeze_are_not_definite() {
    assert_eq!(statuses_of_late_writers(Faults::default()), Vec::<u16>::new());
}

#[test]
fn a_host_whose_writers_do_not_check_the_lease_is_detected() {
    assert_eq!(statuses_of_late_writers(Faults { skip_lease_check: true }), [200, 200, 412, 400]);
}
