//! Tests of the reader of the platform's list: when it fetches pages, and which readings it accepts.
//!
//! Each line of a timeline has three columns: the time in ms, an event, and the reader's reaction.
//!
//! - `tick` calls [`ListReader::tick`] with the lease, `idle` without it.
//! - `page N` is the last page of the list, with N servers; `page N > T` is followed by the page with token
//!   T.
//! - `late N` is a last page that arrives when the lease is no longer held.
//! - `429`, `500` and `broken` are failures: a rate limit, another status, and an unreadable page.
//! - `has N` sets the number of published servers; `reset` calls [`ListReader::reset`].
//! - Reactions: `first` fetches the first page and `next T` the page with token T; `complete N` is a reading
//!   of N servers; `failed` is the first of consecutive failures and `failed again` a later one; `-` is none.

use quillpulley::control::discovery::page::{Page, PageError};
use quillpulley::control::discovery::reader::{Fetch, FetchError, ListReader, ReaderAction, ReaderOptions};
use quillpulley_protocol::{Server, ServerState};
use std::time::Duration;

struct Harness {
    reader: ListReader,
    published: usize,
}

fn options(rate_per_s: f64) -> ReaderOptions {
    ReaderOptions { interval: Duration::from_millis(400), rate_per_s }
}

fn server(number: usize) -> Server {
    Server {
        id: format!("i-{number}"),
        service: "chat".to_string(),
        address: format!("10.0.0.{number}:80"),
        zone: "a".to_string(),
        slots: 4,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
        time_remaining_ms: 0,
        has_time_remaining: false,
    }
}

fn page(text: &str) -> Page {
    let (count, next) = match text.split_once(" > ") {
        Some((count, next)) => (count, Some(next.to_string())),
        None => (text, None),
    };
    let count: usize = count.trim().parse().expect("the count is not a number");
    Page { servers: (0..count).map(server).collect(), unreadable: Vec::new(), next_token: next }
}

impl Harness {
    fn handle_page(&mut self, now: Duration, is_leader: bool, outcome: Result<Page, FetchError>) -> String {
        match self.reader.handle_page(now, is_leader, self.published, outcome) {
            ReaderAction::Nothing => "-".to_string(),
            ReaderAction::Fetch(fetch) => format_fetch(&fetch),
            ReaderAction::Complete(reading) => format!("complete {}", reading.servers.len()),
            ReaderAction::Failed { first: true, .. } => "failed".to_string(),
            ReaderAction::Failed { first: false, .. } => "failed again".to_string(),
        }
    }

    fn handle_event(&mut self, now: Duration, event: &str) -> String {
        let (kind, rest) = event.split_once(' ').unwrap_or((event, ""));
        match kind {
            "tick" => self.reader.tick(now, true).map_or("-".to_string(), |fetch| format_fetch(&fetch)),
            "idle" => self.reader.tick(now, false).map_or("-".to_string(), |fetch| format_fetch(&fetch)),
            "page" => self.handle_page(now, true, Ok(page(rest))),
            "late" => self.handle_page(now, false, Ok(page(rest))),
            "429" => self.handle_page(now, true, Err(FetchError::RateLimited)),
            "500" => self.handle_page(now, true, Err(FetchError::Status(500))),
            "broken" => {
                let error = PageError::Missing("Instances").to_string();
                self.handle_page(now, true, Err(FetchError::Unreadable(error)))
            }
            "has" => {
                self.published = rest.parse().expect("the count is not a number");
                "-".to_string()
            }
            "reset" => {
                self.reader.reset(now);
                "-".to_string()
            }
            other => panic!("unknown event {other}"),
        }
    }
}

fn format_fetch(fetch: &Fetch) -> String {
    fetch.token.as_ref().map_or("first".to_string(), |token| format!("next {token}"))
}

fn run_timeline(rate_per_s: f64, timeline: &str) {
    let mut harness = Harness { reader: ListReader::new(options(rate_per_s)), published: 0 };
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let mut columns = line.split('|').map(str::trim);
        let mut column = || columns.next().expect("fewer than three columns");
        let (time, event, expected) = (column(), column(), column());
        let now = Duration::from_millis(time.parse().expect("the time is not a number"));
        assert_eq!(harness.handle_event(now, event), expected, "{line}");
    }
}

#[test]
fn the_list_is_read_once_per_interval() {
    run_timeline(
        44.0,
        "
           0 | tick     | first
          10 | tick     | -
          20 | page 3   | complete 3
         399 | tick     | -
         400 | tick     | first
         410 | page 3   | complete 3
        ",
    );
}

#[test]
fn several_pages_are_one_reading() {
    run_timeline(
        44.0,
        "
           0 | tick         | first
          10 | page 2 > p-2 | next p-2
          20 | page 2 > p-4 | next p-4
          30 | page 1       | complete 5
        ",
    );
}

#[test]
fn long_lists_are_read_less_often() {
    // The reader uses a quarter of 10 requests per second, so reading five pages takes 2 s.
    run_timeline(
        10.0,
        "
           0 | tick         | first
          10 | page 1 > p-1 | next p-1
          20 | page 1 > p-2 | next p-2
          30 | page 1 > p-3 | next p-3
          40 | page 1 > p-4 | next p-4
          50 | page 1       | complete 5
        1999 | tick         | -
        2000 | tick         | first
        ",
    );
}

#[test]
fn nothing_is_fetched_or_accepted_without_the_lease() {
    run_timeline(
        44.0,
        "
           0 | idle     | -
         500 | tick     | first
         510 | late 3   | -
         520 | idle     | -
         530 | tick     | first
         540 | page 3   | complete 3
        ",
    );
}

#[test]
fn a_page_from_before_an_election_is_not_used() {
    run_timeline(
        44.0,
        "
           0 | tick     | first
          10 | reset    | -
          20 | tick     | -
          30 | page 3   | -
          40 | tick     | first
          50 | page 4   | complete 4
        ",
    );
}

#[test]
fn failed_readings_are_retried_with_backoff() {
    run_timeline(
        44.0,
        "
           0 | tick         | first
          10 | page 2 > p-2 | next p-2
          20 | 500          | failed
         419 | tick         | -
         420 | tick         | first
         430 | 429          | failed again
        1229 | tick         | -
        1230 | tick         | first
        1240 | broken       | failed again
        2840 | tick         | first
        2850 | 429          | failed again
        4849 | tick         | -
        4850 | tick         | first
        4860 | page 3       | complete 3
        5250 | tick         | first
        5260 | 500          | failed
        ",
    );
}

#[test]
fn a_reading_whose_page_tokens_repeat_fails() {
    run_timeline(
        44.0,
        "
           0 | tick         | first
          10 | page 2 > p-2 | next p-2
          20 | page 2 > p-2 | failed
         420 | tick         | first
        ",
    );
}

#[test]
fn a_list_that_shrinks_by_more_than_half_is_confirmed_first() {
    run_timeline(
        44.0,
        "
           0 | has 8    | -
           0 | tick     | first
          10 | page 4   | complete 4
         400 | tick     | first
         410 | page 3   | -
         509 | tick     | -
         510 | tick     | first
         520 | page 3   | complete 3
        ",
    );
}

#[test]
fn an_empty_reading_that_is_not_confirmed_is_discarded() {
    run_timeline(
        44.0,
        "
           0 | has 8    | -
           0 | tick     | first
          10 | page 0   | -
         110 | tick     | first
         120 | page 8   | complete 8
        ",
    );
}
