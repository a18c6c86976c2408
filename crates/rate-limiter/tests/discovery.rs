//! The binary and the server list from discovery, with fake peers on loopback sockets.
mod common;

use common::sockets::*;
use serde_json::Value;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Returns an HTTP chunk with exactly this text.
fn exact_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the same JSON, indented over several lines and with a line break at the end.
fn indented(update: &str) -> String {
    let value: Value = serde_json::from_str(update).expect("JSON");
    serde_json::to_string_pretty(&value).expect("JSON") + "\n"
}

#[test]
fn a_list_is_parsed_however_it_is_formatted_and_split_into_chunks() {
    let served = FakePeer::new(|_| ok("first"));
    let (second, third) = (FakePeer::new(|_| ok("second")), FakePeer::new(|_| ok("third")));
    let first = [instance("s-0", served.address, "in_service")];
    let list = indented(&update(10, true, &first));
    // Each line of the complete list is a chunk of its own, and so is each line break.
    let lines: String = list.trim_end().lines().map(|l| exact_chunk(l) + &exact_chunk("\n")).collect();
    let discovery = FakePeer::new(move |_| Reply::Raw(format!("{WATCH_HEAD}{lines}")));
    let limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    let mut client = limiter.client();
    wait_until("the indented list is known", || client.request(&quote("roomy", 9000)).text() == "first");

    // One chunk has two complete messages and the beginning of a third, whose rest follows byte by byte.
    let gone = update(11, false, &[instance("s-0", served.address, "terminating")]);
    let two =
        indented(&gone) + &indented(&update(12, false, &[instance("s-1", second.address, "in_service")]));
    let three = indented(&update(13, true, &[instance("s-2", third.address, "in_service")]));
    let (beginning, rest) = three.split_at(7);
    discovery.push(&exact_chunk(&(two + beginning)));
    wait_until("the second message is known", || client.request(&quote("roomy", 9000)).text() == "second");
    for byte in rest.chars() {
        discovery.push(&exact_chunk(&byte.to_string()));
    }
    wait_until("the third message is known", || client.request(&quote("roomy", 9000)).text() == "third");
    assert_eq!(
        (discovery.request_count(), limiter.log().as_str()),
        (1, ""),
        "one watch received all messages"
    );
}

#[test]
fn an_incomplete_message_times_out_the_watch() {
    let server = FakePeer::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let _limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    discovery.push(&exact_chunk("{\"generation\": 11, \"instances\": ["));
    // Empty lines do not extend the timeout within a message.
    wait_until("a second watch is open", || {
        discovery.push(&exact_chunk("\n"));
        discovery.request_count() == 2
    });
    assert!(
        discovery.requests()[1].start_line.contains("after=10 "),
        "{}",
        discovery.requests()[1].start_line
    );
}

#[test]
fn updates_arrive_in_time_when_two_watches_in_a_row_time_out() {
    // A change that discovery publishes takes effect 6 s after the watch became idle. Here the watch becomes
    // idle, two calls in a row get no message, and the next one returns the change. The timeouts of these
    // calls must leave enough time for that.
    let (old, new) = (FakePeer::new(|_| ok("old")), FakePeer::new(|_| ok("new")));
    let (before, after) = (
        chunk(&update(10, true, &[instance("s-0", old.address, "in_service")])),
        chunk(&update(11, true, &[instance("s-1", new.address, "in_service")])),
    );
    let calls = AtomicU32::new(0);
    let discovery = FakePeer::new(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Raw(format!("{WATCH_HEAD}{before}")),
        // Both calls are accepted and get no message: one gets the head of a response, the other one nothing.
        1 => Reply::Raw(WATCH_HEAD.into()),
        2 => Reply::Silence,
        _ => Reply::Raw(format!("{WATCH_HEAD}{after}")),
    });
    let limiter = LimiterProcess::start(settings(), &discovery, counter().address);
    wait_until("the list is known", || limiter.client().request(&quote("roomy", 9000)).text() == "old");
    wait_until("the second watch is open", || discovery.request_count() == 2);
    let started = Instant::now();
    wait_until("the change is known", || limiter.client().request(&quote("roomy", 9000)).text() == "new");
    // Two calls of at most 1 s and two backoffs, doubled for a slow machine. It would take longer if each
    // call had the timeout of an open watch.
    assert!(started.elapsed() < Duration::from_millis(5_500), "{:?}", started.elapsed());
}
