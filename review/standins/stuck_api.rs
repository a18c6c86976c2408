//! Case 3: the link of one operator is cut while its orders are on their way. Until it is back, the control API answers
//! no other operator either.

use crate::http::send;
use crate::operator::{configuration, Operator};
use crate::relay::Link;
use crate::system::{System, ACK_MS, CONTACT_MS};
use crate::Verdict;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The orders that are under way at once when the link is cut.
const ORDERS: usize = 8;
const CUT: Duration = Duration::from_secs(6);
/// The orders are sent within this time before the cut.
const CUT_DELAY: Duration = Duration::from_millis(200);
/// The orders are sent one shortly after the other.
const ORDER_INTERVAL: Duration = Duration::from_millis(15);
/// The part of each order that has passed before the cut: its head and the beginning of its body.
const BYTES_BEFORE_CUT: usize = 700;
/// How long the other operator asks, which is longer than `ContactMs`.
const ASK: Duration = Duration::from_millis(CONTACT_MS + 500);

pub fn run(system: &mut System, trouble: bool) -> Verdict {
    if let Err(error) = system.start() {
        return Verdict::CouldNotRun(error);
    }
    let record = system.record.clone();
    let link = Link::default();
    let linked: Vec<_> =
        (1..=3).map(|number| (system.control(number), system.address(4, number, 16))).collect();
    for (target, listen) in &linked {
        link.start(*listen, *target);
    }
    let direct: Vec<_> = (1..=3).map(|number| (system.control(number), system.control(number))).collect();
    let mut other = Operator { name: "operator B", record: record.clone(), nodes: direct, preferred: 0 };
    let taken = other.replace(0, &configuration(1, 15_000, 0), Duration::from_secs(20));
    if taken.is_none_or(|response| response.status != 200) {
        return Verdict::CouldNotRun("the first configuration is not taken".to_string());
    }
    if other.read_back(Duration::from_secs(5)).is_none_or(|response| response.status != 200) {
        return Verdict::CouldNotRun("the configuration does not come back".to_string());
    }
    thread::sleep(Duration::from_millis(CONTACT_MS));
    let mut orders = Vec::new();
    if trouble {
        record.line(&format!(
            "link of operator A: cut for {CUT:?}, after {BYTES_BEFORE_CUT} bytes of each order"
        ));
        link.cut(CUT_DELAY, CUT, BYTES_BEFORE_CUT);
    }
    for order in 0..ORDERS {
        let (nodes, record, preferred) = (linked.clone(), record.clone(), other.preferred);
        orders.push(thread::spawn(move || {
            let mut operator = Operator { name: "operator A", record, nodes, preferred };
            let body = configuration(2 + order as u64, 15_000, 10);
            operator.replace(1, &body, Duration::from_millis(ACK_MS)).map(|response| response.status)
        }));
        thread::sleep(ORDER_INTERVAL);
    }
    thread::sleep(Duration::from_millis(500));
    let start = Instant::now();
    let answer = other.read_back(ASK);
    let asked = start.elapsed();
    let is_answered = answer.is_some_and(|response| response.status == 200);
    record.line(&format!("operator B has asked for the configuration for {asked:?}; it came: {is_answered}"));
    for order in orders {
        let status = order.join().unwrap_or(None);
        record.line(&format!("operator A: an order ended with {status:?}"));
    }
    thread::sleep(Duration::from_millis(1500));
    let after = other.read_back(Duration::from_secs(5)).map(|response| response.status);
    record.line(&format!("operator B reads the configuration once the link is back: {after:?}"));
    match is_answered && asked <= Duration::from_millis(CONTACT_MS) {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Waits until the proxy says that it is ready. Returns whether it does so within 20 s.
pub fn until_ready(ready: SocketAddr) -> bool {
    let start = Instant::now();
    let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
    while start.elapsed() < Duration::from_secs(20) {
        if send(ready, request, Duration::from_secs(1)).is_some_and(|response| response.status == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
