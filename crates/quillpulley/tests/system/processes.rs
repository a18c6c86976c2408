//! The processes of the system, and waits for what they do.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// A wait that takes longer than this has failed.
const TIMEOUT: Duration = Duration::from_secs(30);
/// What is awaited is looked for after each line that a process logs, and at least this often.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// A process of the system. Its logs go to the test's output.
pub struct Process {
    role: &'static str,
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts a role with a settings file.
    pub fn start(role: &'static str, settings: &Path) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_quillpulley"));
        command.args([role, "--log", "debug"]).env("QUILLPULLEY_CONFIG", settings).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let stderr = child.stderr.take().expect("its standard error");
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Process { role, child, lines }
    }

    /// Waits until `look` finds what is awaited.
    pub fn until<T>(&mut self, what: &str, mut look: impl FnMut() -> Option<T>) -> T {
        let started = Instant::now();
        loop {
            if let Some(found) = look() {
                return found;
            }
            assert!(started.elapsed() < TIMEOUT, "{what} did not come");
            self.next_line();
        }
    }

    /// Prints the next line of its log, if one comes soon.
    fn next_line(&self) {
        if let Ok(line) = self.lines.recv_timeout(LOOK_EVERY) {
            println!("{}: {line}", self.role);
        }
    }

    /// Kills it.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Tells it to end.
    pub fn terminate(&self) {
        let kill = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        assert!(kill.expect("kill starts").success());
    }

    /// Waits for its end; its exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("its status") {
                return status.code();
            }
            assert!(started.elapsed() < TIMEOUT, "{} does not end", self.role);
            self.next_line();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        while let Ok(line) = self.lines.recv_timeout(LOOK_EVERY) {
            println!("{}: {line}", self.role);
        }
    }
}
