//! Case 2: an order of the operator is held up on its way for three seconds. The operator has sent it again meanwhile,
//! both it and a later order were acknowledged, and the late copy undoes the later one.

use crate::operator::{configuration, Operator};
use crate::relay::Link;
use crate::server::{entry, Runs, Server};
use crate::slow_client::request;
use crate::stuck_api::until_ready;
use crate::system::{System, ACK_MS, EVAC_MS, ZONES};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const HOLD: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(50);
/// How long the evacuated zone is watched after `EvacMs`.
const WATCH: Duration = Duration::from_secs(6);
/// A request that a client sent by then, less this, is not judged: it was sent before the time began.
const SLACK_S: f64 = 0.5;

pub fn run(system: &mut System, trouble: bool) -> Verdict {
    let runs: Runs = Arc::default();
    for (number, id) in [(1, "i-cards-1"), (2, "i-cards-2")] {
        let (zone, _) = ZONES[usize::from(number) - 1];
        let address = system.address(2, number, 0);
        let server = Server {
            id,
            zone,
            work: Duration::from_millis(20),
            answer_bytes: 800,
            runs: Arc::clone(&runs),
            record: system.record.clone(),
        };
        server.start(address);
        system.instances.lock().expect("no thread panicked").push(entry(id, "cards", address, zone, 6));
    }
    if let Err(error) = system.start() {
        return Verdict::CouldNotRun(error);
    }
    let record = system.record.clone();
    let link = Link::default();
    let nodes: Vec<_> =
        (1..=3).map(|number| (system.control(number), system.address(4, number, 16))).collect();
    for (target, listen) in &nodes {
        link.start(*listen, *target);
    }
    let mut operator = Operator { name: "operator", record: record.clone(), nodes, preferred: 0 };
    let taken = operator.replace(0, &configuration(1, 15_000, 0), Duration::from_secs(20));
    if taken.is_none_or(|response| response.status != 200) {
        return Verdict::CouldNotRun("the first configuration is not taken".to_string());
    }
    if !until_ready(system.ready()) {
        return Verdict::CouldNotRun("the proxy is not ready".to_string());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let client = start_client(system, Arc::clone(&stop));
    thread::sleep(Duration::from_secs(2));
    let result = give_orders(system, &mut operator, &link, trouble, &runs);
    stop.store(true, Ordering::Relaxed);
    let _ = client.join();
    result
}

fn start_client(system: &System, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (front, record) = (system.front(), system.record.clone());
    thread::spawn(move || {
        for index in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let (id, path) = (format!("request-{index}"), format!("/cards/{index}"));
            record.line(&format!("client sends {id}"));
            let end = request(front, &path, &id, Duration::from_secs(3), 10_000_000, || record.now());
            record.line(&format!("client of {id}: status {:?}", end.status));
            thread::sleep(PAUSE);
        }
    })
}

fn give_orders(system: &System, operator: &mut Operator, link: &Link, trouble: bool, runs: &Runs) -> Verdict {
    let record = &system.record;
    let patience = Duration::from_millis(ACK_MS);
    let (zone, _) = ZONES[0];
    let (start, end) = (format!("/v1/Evacuate.Start/{zone}"), format!("/v1/Evacuate.End/{zone}"));
    let mut give = |path: &str| {
        let is_acknowledged = operator.order(path, patience).is_some_and(|response| response.status == 200);
        is_acknowledged.then(|| record.now())
    };
    if give(&start).is_none() {
        return Verdict::CouldNotRun("the first evacuation is not acknowledged".to_string());
    }
    thread::sleep(Duration::from_millis(EVAC_MS + 1000));
    if trouble {
        record.line(&format!("link: the bytes of the next connection are held up for {HOLD:?}"));
        link.hold_next(HOLD);
    }
    let Some(ended_at) = give(&end) else {
        return Verdict::CouldNotRun("the end of the evacuation is not acknowledged".to_string());
    };
    thread::sleep(Duration::from_millis(500));
    let Some(started_at) = give(&start) else {
        return Verdict::CouldNotRun("the second evacuation is not acknowledged".to_string());
    };
    record.line(&format!(
        "the end was acknowledged at {ended_at:.3} s, the second evacuation at {started_at:.3} s; no order follows"
    ));
    thread::sleep(Duration::from_millis(EVAC_MS) + WATCH);
    let from = started_at + EVAC_MS as f64 / 1e3 + SLACK_S;
    let runs = runs.lock().expect("no thread panicked");
    let later = runs.iter().filter(|run| run.at > from).count();
    let in_zone = runs.iter().filter(|run| run.at > from && run.zone == zone).count();
    record.line(&format!(
        "requests that reached servers later than EvacMs after the second evacuation was acknowledged: {later}, of \
         these in {zone}: {in_zone}"
    ));
    if later < 20 {
        return Verdict::CouldNotRun("too few requests".to_string());
    }
    match in_zone > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
