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
const ROW: u32 = 60;

/// Clients that send requests until `end` is called. One request in four is of the class with the highest
/// value, the others are quotes.
struct Load {
    /// The number of rejected quotes.
    refused: Arc<AtomicU32>,
    /// The number of quotes served since the last rejected one.
    row: Arc<AtomicU32>,
    done: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn on(limiter: &LimiterProcess) -> Load {
        let mut load =
            Load { refused: Arc::default(), row: Arc::default(), done: Arc::default(), clients: Vec::new() };
        for n in 0..CLIENTS {
            let mut client = limiter.client();
            let (refused, row, done) = (load.refused.clone(), load.row.clone(), load.done.clone());
            load.clients.push(thread::spawn(move || {
                for turn in n.. {
                    if done.load(Ordering::SeqCst) {
                        break;
                    }
                    if turn % 4 == 0 {
                        client.request(&post("bind", "x"));
                    } else if client.request(&quote("roomy", 9000)).status() == 200 {
                        row.fetch_add(1, Ordering::SeqCst);
                    } else {
                        row.store(0, Ordering::SeqCst);
                        refused.fetch_add(1, Ordering::SeqCst);
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            }));
        }
        load
    }

    fn end(self) {
        self.done.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().expect("a client thread");
        }
    }
}

fn start(servers: &[FakePeer]) -> LimiterProcess {
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
    let limiter = start(&servers);
    let load = Load::on(&limiter);
    // Enough responses for an in-flight limit to be lowered, if such responses lowered it.
    wait_until("many requests have been served", || {
        servers.iter().map(FakePeer::request_count).sum::<usize>() > 100
    });
    load.row.store(0, Ordering::SeqCst);
    wait_until("many consecutive quotes are served", || load.row.load(Ordering::SeqCst) >= ROW);
    load.end();
}

/// The server handles one request at a time. The others in flight wait, and those with the lowest value are
/// rejected.
#[test]
fn queued_responses_cause_rejections() {
    let turn = Mutex::new(());
    let server = FakePeer::new(move |_| {
        let _turn = turn.lock().expect("lock");
        thread::sleep(Duration::from_millis(60));
        ok("served")
    });
    let limiter = start(std::slice::from_ref(&server));
    let load = Load::on(&limiter);
    wait_until("many requests have been served", || server.request_count() > 60);
    load.refused.store(0, Ordering::SeqCst);
    wait_until("quotes are rejected", || load.refused.load(Ordering::SeqCst) >= 20);
    load.end();
}
