//! Tests that data stored by an earlier release can be read, and that responses are identical to those of the
//! earlier release, byte for byte.
//!
//! The folder `fixtures/data-folder` was written by the program at commit 0b0971f, which ran as the only
//! control node of a new system. It contains 280 configurations and 62 starts or ends of an evacuation. The
//! files in `fixtures/answers` are the responses of that program afterwards.

use crate::cluster::TIMEOUT;
use quillpulley::control::replica_host::storage_thread::StorageThread;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::encode_value;
use quillpulley_replication::StateMachine;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The address of the control node in the stored view.
const ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 251, 0, 1);
const CONTROL_PORT: u16 = 8166;
const DIRECTORY_PORT: u16 = 8164;
const LAST_VERSION: u64 = 280;
/// Time between two requests to a process that is starting.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// A copy of the stored folder, which is removed when it is dropped.
struct DataFolder(PathBuf);

impl DataFolder {
    fn copy(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("quillpulley-stored-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("cannot create the folder");
        for file in std::fs::read_dir(fixtures().join("data-folder")).expect("cannot list the fixtures") {
            let file = file.expect("cannot read the fixture");
            std::fs::copy(file.path(), folder.join(file.file_name())).expect("cannot copy the fixture");
        }
        DataFolder(folder)
    }

    /// Returns the paths and contents of its files, in the order of the paths.
    fn contents(&self) -> Vec<(PathBuf, Vec<u8>)> {
        let files = std::fs::read_dir(&self.0).expect("cannot list the folder");
        let mut paths: Vec<PathBuf> =
            files.map(|file| file.expect("cannot list the folder").path()).collect();
        paths.sort();
        paths
            .into_iter()
            .map(|path| (path.clone(), std::fs::read(path).expect("cannot read the file")))
            .collect()
    }
}

impl Drop for DataFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

fn body(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r","Host":"h","PathPrefix":"/{version}/","Kind":"idempotent","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":0,"Service":"s","MaxAttempts":1}}],"Services":[{{"Name":"s","HealthPath":"/health","MaxConnections":10}}],"Limits":{{"MaxHeaderBytes":1000,"MaxBodyBytes":1000,"HeaderTimeoutMs":1000,"IdleTimeoutMs":1000}}}}"#
    )
}

/// A control process that runs on a copy of the stored folder.
struct Control {
    process: Child,
    _folder: DataFolder,
}

impl Control {
    fn start() -> Self {
        let folder = DataFolder::copy("process");
        let settings = folder.0.with_extension("toml");
        let text = format!(
            "NodeName = \"core-0\"\nIp = \"{ADDRESS}\"\nZone = \"zone-0\"\nRegion = \"region-0\"\n\
             PortRange = [7720, 7735]\nSeeds = [\"{ADDRESS}:{CONTROL_PORT}\"]\nDataDir = \"{}\"\n\
             [Listen]\nControl = \"{ADDRESS}:{CONTROL_PORT}\"\nDirectory = \"{ADDRESS}:{DIRECTORY_PORT}\"\n\
             [FaultTolerance]\nMachines = 0\nZones = 0\nRegions = 0\n",
            folder.0.display()
        );
        std::fs::write(&settings, text).expect("cannot write the settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_quillpulley"));
        command.arg("control").env("QUILLPULLEY_CONFIG", &settings).stderr(Stdio::null());
        let process = command.spawn().expect("cannot start the program");
        Control { process, _folder: folder }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.process.kill().ok();
        self.process.wait().ok();
    }
}

/// Returns the complete response to a request; `None` if the connection cannot be opened.
fn exchange(port: u16, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(SocketAddr::from((ADDRESS, port))).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).expect("cannot set the timeout");
    stream.write_all(request.as_bytes()).expect("cannot send the request");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("cannot read the response");
    Some(response)
}

fn request(method: &str, path: &str, header: &str, body: &str) -> String {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{header}Content-Length: {length}\r\n\r\n{body}")
}

fn replace(base: u64, body: &str) -> String {
    request("POST", "/v1/Config.Replace", &format!("Quillpulley-If-Config-Version: {base}\r\n"), body)
}

fn stored_response(name: &str) -> String {
    std::fs::read_to_string(fixtures().join("answers").join(name)).expect("cannot read the stored response")
}

#[test]
fn a_folder_of_an_earlier_release_is_read_with_the_same_state() {
    let folder = DataFolder::copy("state");
    let before = folder.contents();
    let (_disk, recovered) = StorageThread::open(folder.0.clone(), drop).expect("cannot open the folder");
    let record = recovered.record.expect("no witness record");
    assert_eq!((record.incarnation, record.promised, record.promised_to.address()), (0, 1, ADDRESS));
    let view = record.accepted.as_ref().expect("no view");
    assert_eq!((view.epoch, view.primary.address(), view.activated), (1, ADDRESS, true));
    let (last, snapshot) = recovered.snapshot.expect("no snapshot");
    assert_eq!((last.epoch, last.index, recovered.entries.len()), (1, 257, 86));

    let mut state = ControlState::default();
    state.restore(&snapshot).expect("cannot restore the snapshot");
    assert_eq!(state.snapshot(), snapshot, "the snapshot is not written with the same bytes");
    recovered.entries.iter().for_each(|entry| state.apply(entry));
    assert_eq!(state.version(), LAST_VERSION);
    assert_eq!(state.body(), Some(body(LAST_VERSION).as_bytes()));
    assert_eq!(state.evacuated_zones().collect::<Vec<_>>(), EVACUATED_ZONES);
    let record = encode_value(&record);
    let slots = std::fs::read(folder.0.join("record.slots")).expect("cannot read the record");
    let is_record_written = slots.windows(record.len()).any(|window| window == record);
    assert!(is_record_written, "the witness record is not written with the same bytes");
    assert_eq!(folder.contents(), before, "opening an undamaged folder changed it");
}

/// The zones that are being evacuated in the stored state.
const EVACUATED_ZONES: [&str; 4] = ["zone-0", "zone-1", "zone-3", "zone-5"];

#[test]
fn a_process_on_a_folder_of_an_earlier_release_responds_as_before() {
    let _control = Control::start();
    let get = request("GET", "/v1/Config.Get", "", "");
    let started = Instant::now();
    let first = loop {
        match exchange(CONTROL_PORT, &get).filter(|response| response.starts_with("HTTP/1.1 200")) {
            Some(response) => break response,
            None => std::thread::sleep(RETRY_INTERVAL),
        }
        assert!(started.elapsed() < TIMEOUT, "the process did not respond in time");
    };
    assert_eq!(first, stored_response("config-get.http"));
    let cases = [
        ("config-replace-taken.http", replace(LAST_VERSION - 1, &body(LAST_VERSION))),
        ("config-replace-conflict.http", replace(5, &body(LAST_VERSION + 1))),
        ("config-replace-invalid.http", replace(LAST_VERSION, "{\"Version\":")),
        ("config-replace-without-version.http", request("POST", "/v1/Config.Replace", "", "{}")),
        ("unknown-path.http", request("GET", "/v1/Config.Put", "", "")),
        ("wrong-method.http", request("GET", "/v1/Config.Replace", "", "")),
        ("evacuate-without-zone.http", request("POST", "/v1/Evacuate.Start/", "", "")),
    ];
    for (name, request) in cases {
        assert_eq!(exchange(CONTROL_PORT, &request), Some(stored_response(name)), "{name}");
    }
    // The process has been elected again after its restart.
    let status = stored_response("control-status.http").replace("\"Epoch\":1", "\"Epoch\":2");
    assert_eq!(exchange(CONTROL_PORT, &request("GET", "/v1/Control.Status", "", "")), Some(status));
    let resolve = "/v1/resolve?Name=x&Region=region-0&Zone=zone-0";
    let cases = [
        ("resolve-without-proxies.http", request("GET", resolve, "", "")),
        ("resolve-wrong-method.http", request("POST", resolve, "", "")),
        ("resolve-unknown-path.http", request("GET", "/v1/elsewhere", "", "")),
    ];
    for (name, request) in cases {
        assert_eq!(exchange(DIRECTORY_PORT, &request), Some(stored_response(name)), "{name}");
    }
}

#[test]
fn an_unreadable_folder_is_reported_with_a_remedy_and_not_changed() {
    let folder = DataFolder::copy("damaged");
    let segment = folder.0.join("log-000000-000000000001.segment");
    let mut bytes = std::fs::read(&segment).expect("cannot read the segment");
    bytes[60_000] ^= 0xff;
    std::fs::write(&segment, bytes).expect("cannot write the segment");
    let before = folder.contents();
    let error = StorageThread::open(folder.0.clone(), drop).err().expect("the folder was opened").to_string();
    assert!(error.contains("log-000000-000000000001.segment is damaged at byte"), "{error}");
    assert!(error.contains("empty the data folder, so that this machine joins as a new one"), "{error}");
    assert_eq!(folder.contents(), before);
}
