//! The real binary and the list of servers, over loopback sockets, between fake peers.
mod common;

use common::sockets::*;
use serde_json::Value;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// A piece of a watch as a chunk of its own, with nothing added.
fn piece(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The same list as people write JSON: every part on a line of its own.
fn indented(update: &str) -> String {
    let value: Value = serde_json::from_str(update).expect("JSON");
    serde_json::to_string_pretty(&value).expect("JSON") + "\n"
}

#[test]
fn a_list_is_read_however_it_is_laid_out_and_split() {
    let served = Fake::new(|_| ok("first"));
    let (second, third) = (Fake::new(|_| ok("second")), Fake::new(|_| ok("third")));
    let first = [instance("s-0", served.address, "in_service")];
    let list = indented(&update(10, true, &first));
    // Each line of the whole list is a chunk, with a blank one between, and it ends without a line break.
    let lines: String = list.trim_end().lines().map(|l| piece(l) + &piece("\n")).collect();
    let discovery = Fake::new(move |_| Reply::Raw(format!("{WATCH_HEAD}{lines}")));
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    let mut client = limiter.client();
    wait_until("the indented list is known", || client.ask(&quote("roomy", 9000)).text() == "first");

    // Two messages at once, the end of one and the beginning of the next in one piece, byte by byte.
    let gone = update(11, false, &[instance("s-0", served.address, "terminating")]);
    let two =
        indented(&gone) + &indented(&update(12, false, &[instance("s-1", second.address, "in_service")]));
    let three = indented(&update(13, true, &[instance("s-2", third.address, "in_service")]));
    let (begun, rest) = three.split_at(7);
    discovery.push(&piece(&(two + begun)));
    wait_until("the second message is known", || client.ask(&quote("roomy", 9000)).text() == "second");
    for byte in rest.chars() {
        discovery.push(&piece(&byte.to_string()));
    }
    wait_until("the third is known", || client.ask(&quote("roomy", 9000)).text() == "third");
    assert_eq!((discovery.count(), limiter.errors().as_str()), (1, ""), "all on one watch");
}

#[test]
fn a_message_that_never_ends_breaks_the_watch() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let _limiter = Limiter::start(settings(), &discovery, counter().address);
    discovery.push(&piece("{\"generation\": 11, \"instances\": ["));
    // Blank lines, within it as well as between messages, are no news.
    wait_until("a second watch", || {
        discovery.push(&piece("\n"));
        discovery.count() == 2
    });
    assert!(discovery.seen()[1].first.contains("after=10 "), "{}", discovery.seen()[1].first);
}

#[test]
fn updates_arrive_in_time_when_two_watches_in_a_row_time_out() {
    // What discovery publishes counts as known 6 s after the watch went idle. The watch goes idle, the call that
    // replaces it is never answered, and the third brings the news: from the silence on, calls take so long.
    let (old, new) = (Fake::new(|_| ok("old")), Fake::new(|_| ok("new")));
    let (before, after) = (
        chunk(&update(10, true, &[instance("s-0", old.address, "in_service")])),
        chunk(&update(11, true, &[instance("s-1", new.address, "in_service")])),
    );
    let calls = AtomicU32::new(0);
    let discovery = Fake::new(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Raw(format!("{WATCH_HEAD}{before}")),
        // Accepted, with an answer begun or not, and silent from then on.
        1 => Reply::Raw(WATCH_HEAD.into()),
        2 => Reply::Silence,
        _ => Reply::Raw(format!("{WATCH_HEAD}{after}")),
    });
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    wait_until("the list is known", || limiter.client().ask(&quote("roomy", 9000)).text() == "old");
    wait_until("the second watch", || discovery.count() == 2);
    let began = Instant::now();
    wait_until("the news is known", || limiter.client().ask(&quote("roomy", 9000)).text() == "new");
    // Two calls of a second at most and two pauses: twice of that on a slow machine, and less than it took
    // where each call was waited for as long as a watch.
    assert!(began.elapsed() < Duration::from_millis(5_500), "{:?}", began.elapsed());
}
