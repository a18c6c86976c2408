//! When a lag is logged, tested with timelines. The columns of a timeline are: the time in milliseconds, the time at
//! which the followed thing was last current (`-` if it is current now), and the expected report.

use quillpulley::lag::{LagMonitor, LagReport};
use std::time::Duration;

fn milliseconds(text: &str) -> Duration {
    Duration::from_millis(text.parse().expect("milliseconds"))
}

fn report_text(report: Option<LagReport>) -> String {
    match report {
        None => String::new(),
        Some(LagReport::Lagging(age)) => format!("lagging {}", age.as_millis()),
        Some(LagReport::Recovered(lasted)) => format!("recovered {}", lasted.as_millis()),
    }
}

fn run_timeline(timeline: &str) {
    let mut monitor = LagMonitor::default();
    for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let [now, since, expected] = line.split('|').map(str::trim).collect::<Vec<_>>()[..] else {
            panic!("a line must have three columns: {line}");
        };
        let since = Some(since).filter(|since| *since != "-").map(milliseconds);
        assert_eq!(report_text(monitor.update(milliseconds(now), since)), expected, "{line}");
    }
}

#[test]
fn a_lag_is_reported_after_a_second_and_then_once_a_second() {
    run_timeline(
        "
           0 |    0 |
         900 |    0 |
        1000 |    0 | lagging 1000
        1025 |    0 |
        1975 |    0 |
        2010 |    0 | lagging 2010
        3000 |    0 |
        3010 |    0 | lagging 3010
        ",
    );
}

#[test]
fn the_end_of_a_reported_lag_is_reported_with_its_duration() {
    run_timeline(
        "
           0 |    0 |
        1000 |    0 | lagging 1000
        1400 | 1400 | recovered 1400
        1600 | 1600 |
        2600 | 1600 | lagging 1000
        ",
    );
}

#[test]
fn a_short_lag_is_not_reported() {
    run_timeline(
        "
           0 |    0 |
         900 |  900 |
        1800 | 1700 |
        2600 | 1700 |
        2650 | 2650 |
        ",
    );
}

#[test]
fn a_lag_during_which_the_process_did_not_run_is_reported_at_its_end() {
    run_timeline(
        "
         200 |  200 |
        3000 | 2990 | recovered 2790
        3200 | 3200 |
        ",
    );
}

#[test]
fn something_that_is_current_is_not_reported_until_it_lags() {
    run_timeline(
        "
           0 |    - |
        5000 |    - |
        5100 | 5100 |
        6100 | 5100 | lagging 1000
        6500 |    - | recovered 1400
        6600 |    - |
        ",
    );
}
