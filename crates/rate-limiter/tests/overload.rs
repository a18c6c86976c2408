//! The binary with slow servers: their responses take long because of their service time, or because requests
//! are queued.
mod common;

use common::sockets::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: u32 = 6;
const MIN_CONSECUTIVE_SERVED: u32 = 60;

/// Clients that send requests until `stop` is called. One request in four is of the class with the highest
/// value, the others are quotes.
struct Load {
    /// The number of rejected quotes.
    rejected: Arc<AtomicU32>,
    /// The number of quotes served since the last rejected one.
    consecutive_served: Arc<AtomicU32>,
    done: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(limiter: &LimiterProcess) -> Load {
        let mut load = Load {
            rejected: Arc::default(),
            consecutive_served: Arc::default(),
            done: Arc::default(),
            clients: Vec::new(),
        };
        for n in 0..CLIENTS {
            let mut client = limiter.client();
            let (rejected, consecutive_served, done) =
                (load.rejected.clone(), load.consecutive_served.clone(), load.done.clone());
            load.clients.push(thread::spawn(move || {
                for request_index in n.. {
                    if done.load(Ordering::SeqCst) {
                        break;
                    }
                    if request_index % 4 == 0 {
                        client.request(&post("bind", "x"));
                    } else if client.request(&quote("roomy", 9000)).status() == 200 {
                        consecutive_served.fetch_add(1, Ordering::SeqCst);
                    } else {
                        consecutive_served.store(0, Ordering::SeqCst);
                        rejected.fetch_add(1, Ordering::SeqCst);
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            }));
        }
        load
    }

    fn stop(self) {
        self.done.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().expect("a client thread");
        }
    }
}

fn start_limiter(servers: &[FakePeer]) -> LimiterProcess {
    let mut settings = settings();
    settings["classes"][1]["worth"] = json!(4.0);
    let list = servers.iter().enumerate();
    let list = list.map(|(n, s)| instance(&format!("s-{n}"), s.address, "in_service")).collect();
    LimiterProcess::start(settings, &discovery(list), counter().address)
}

/// The service time is a third of the target latency. A lower in-flight limit would not make such responses
/// faster.
#[test]
fn slow_responses_that_are_not_queued_cause_no_rejections() {
    let slow =
        || FakePeer::new(|_| Reply::Pieces(vec![(Duration::from_millis(130), raw("200 OK", "", "served"))]));
    let servers: Vec<FakePeer> = (0..6).map(|_| slow()).collect();
    let limiter = start_limiter(&servers);
    let load = Load::start(&limiter);
    // By then, an in-flight limit that adapts to latency would be lowered, if there were one.
    wait_until("many requests have been served", || {
        servers.iter().map(FakePeer::request_count).sum::<usize>() > 100
    });
    load.consecutive_served.store(0, Ordering::SeqCst);
    wait_until("many consecutive quotes are served", || {
        load.consecutive_served.load(Ordering::SeqCst) >= MIN_CONSECUTIVE_SERVED
    });
    load.stop();
}

/// The server handles one request at a time. The others in flight wait, and those with the lowest value are
/// rejected.
#[test]
fn queued_responses_cause_rejections() {
    let slot = Mutex::new(());
    let server = FakePeer::new(move |_| {
        let _slot = slot.lock().expect("lock");
        thread::sleep(Duration::from_millis(60));
        ok("served")
    });
    let limiter = start_limiter(std::slice::from_ref(&server));
    let load = Load::start(&limiter);
    wait_until("many requests have been served", || server.request_count() > 60);
    load.rejected.store(0, Ordering::SeqCst);
    wait_until("quotes are rejected", || load.rejected.load(Ordering::SeqCst) >= 20);
    load.stop();
}
