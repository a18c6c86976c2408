//! The link of an operator to a control node: a proxy of our own on the operator's side. It passes bytes on as they
//! come, unless the link holds them up.

use crate::server::serve;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the link does with the bytes that the operator sends on a connection.
#[derive(Clone, Default)]
pub struct Link {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// The bytes of the next connection are held up for this time.
    hold_next: Option<Duration>,
    /// A cut of the link.
    cut: Option<Cut>,
}

/// A cut: nothing passes while it lasts, and what has not passed yet is held up.
#[derive(Clone, Copy)]
struct Cut {
    begins: Instant,
    ends: Instant,
    /// How many bytes of a connection that was opened before have passed when the cut begins.
    bytes_before: usize,
}

impl Link {
    /// Starts the end of the link to which the operator connects.
    pub fn start(&self, listen: SocketAddr, target: SocketAddr) {
        let link = self.clone();
        serve(listen, move |stream| link.pass(stream, target));
    }

    /// Holds up the bytes of the next connection, as retransmissions after a few lost packets do.
    pub fn hold_next(&self, time: Duration) {
        self.state.lock().expect("no thread panicked").hold_next = Some(time);
    }

    /// Cuts the link for `time`, from `delay` from now. Of each connection that is opened until then, `bytes` bytes pass
    /// before the cut.
    pub fn cut(&self, delay: Duration, time: Duration, bytes: usize) {
        let begins = Instant::now() + delay;
        let cut = Cut { begins, ends: begins + time, bytes_before: bytes };
        self.state.lock().expect("no thread panicked").cut = Some(cut);
    }

    fn pass(&self, mut operator: TcpStream, target: SocketAddr) -> Option<()> {
        let opened = Instant::now();
        if let Some(cut) = self.cut_at(opened) {
            sleep_until(cut.ends);
        }
        let mut node = TcpStream::connect(target).ok()?;
        node.set_nodelay(true).ok()?;
        let mut hold = self.state.lock().expect("no thread panicked").hold_next.take();
        let (from_node, to_operator) = (node.try_clone().ok()?, operator.try_clone().ok()?);
        let link = self.clone();
        thread::spawn(move || link.pass_back(from_node, to_operator));
        let mut buffer = [0; 16 * 1024];
        let mut passed = 0;
        loop {
            let length = operator.read(&mut buffer).unwrap_or(0);
            if let Some(time) = hold.take() {
                thread::sleep(time);
            }
            let mut bytes = &buffer[..length];
            if let Some(cut) = self.cut_after(opened) {
                let (before, rest) = bytes.split_at(length.min(cut.bytes_before.saturating_sub(passed)));
                node.write_all(before).ok()?;
                passed += before.len();
                bytes = rest;
                sleep_until(cut.ends);
            }
            if length == 0 {
                let _ = node.shutdown(Shutdown::Write);
                return Some(());
            }
            node.write_all(bytes).ok()?;
            passed += bytes.len();
        }
    }

    fn pass_back(&self, mut node: TcpStream, mut operator: TcpStream) -> Option<()> {
        let mut buffer = [0; 16 * 1024];
        loop {
            let length = node.read(&mut buffer).unwrap_or(0);
            if let Some(cut) = self.cut_at(Instant::now()) {
                sleep_until(cut.ends);
            }
            if length == 0 {
                let _ = operator.shutdown(Shutdown::Write);
                return Some(());
            }
            operator.write_all(&buffer[..length]).ok()?;
        }
    }

    /// Returns the cut that lasts at a time.
    fn cut_at(&self, time: Instant) -> Option<Cut> {
        let cut = self.state.lock().expect("no thread panicked").cut;
        cut.filter(|cut| cut.begins <= time && time < cut.ends)
    }

    /// Returns the cut that lasts now or is about to begin, for a connection that was opened before.
    fn cut_after(&self, opened: Instant) -> Option<Cut> {
        let cut = self.state.lock().expect("no thread panicked").cut;
        cut.filter(|cut| opened < cut.begins && Instant::now() < cut.ends)
    }
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}
