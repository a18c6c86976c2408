//! Starts and stops the processes of the system, and waits for conditions.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// A test fails if a wait takes longer than this.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum interval between checks of an awaited condition, which is also checked after each line that a process
/// logs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A process of the system. Its log is copied to the output of the test.
pub struct Process {
    role: &'static str,
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts a process in a role, with a settings file.
    pub fn start(role: &'static str, settings: &Path) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_quillpulley"));
        command.args([role, "--log", "debug"]).env("QUILLPULLEY_CONFIG", settings).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let stderr = child.stderr.take().expect("standard error is piped");
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

    /// Calls `poll` until it returns a value, and returns that value.
    pub fn until<T>(&mut self, what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
        let started = Instant::now();
        loop {
            if let Some(found) = poll() {
                return found;
            }
            assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
            self.next_line();
        }
    }

    /// Prints the next line of the log, if one arrives within [`POLL_INTERVAL`].
    fn next_line(&self) {
        if let Ok(line) = self.lines.recv_timeout(POLL_INTERVAL) {
            println!("{}: {line}", self.role);
        }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        // Killing fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal, which is named without `SIG`, to the process.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([&format!("-{name}"), &self.id().to_string()]).status();
        assert!(kill.expect("kill starts").success());
    }

    /// Returns the exit code of a process that has exited; `None` if it still runs. The code is `None` if a signal
    /// has ended it.
    pub fn exit_code(&mut self) -> Option<Option<i32>> {
        let status = self.child.try_wait().expect("the status of the process")?;
        Some(status.code())
    }

    /// Waits until the process has exited. Returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let started = Instant::now();
        loop {
            if let Some(code) = self.exit_code() {
                return code;
            }
            assert!(started.elapsed() < TIMEOUT, "{} does not exit", self.role);
            self.next_line();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        while let Ok(line) = self.lines.recv_timeout(POLL_INTERVAL) {
            println!("{}: {line}", self.role);
        }
    }
}
