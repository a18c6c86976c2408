//! Tests of `DrainDeadline`: which requests a draining proxy still accepts, and when it exits.

use quickcheck::quickcheck;
use quillpulley::proxy::shutdown::drain_deadline::DrainDeadline;
use std::time::Duration;

/// The proxy receives SIGTERM at 1,000 ms and would receive SIGKILL 8,000 ms later. The columns are the time
/// at which a request arrives, the timeout of its route, the deadline of its client, and whether it is
/// accepted. Times are in milliseconds.
const GRACE_OF_8_S: &str = "
    arrived |  timeout | deadline | accepted
       1000 |    15000 |    15000 | no
       1000 |     7400 |    15000 | yes
       1000 |     7401 |    15000 | no
       1000 |    15000 |     7400 | yes
       1000 |    15000 |     7401 | no
       3900 |    15000 |    15000 | no
       3901 |    15000 |    15000 | no
       3901 |     4499 |    15000 | yes
       3901 |     4500 |    15000 | no
       3901 |    15000 |     4499 | yes
       3901 |    15000 |     4500 | no
       6400 |     3000 |     3000 | no
       5400 |     3000 |     3000 | yes
       8300 |      100 |    15000 | yes
       8301 |      100 |    15000 | no
       8399 |    15000 |        1 | yes
       8400 |    15000 |        1 | no
       9500 |      100 |      100 | no
";

/// The same with SIGKILL 4,000 ms after SIGTERM.
const GRACE_OF_4_S: &str = "
    arrived |  timeout | deadline | accepted
       1000 |     3400 |    15000 | yes
       2000 |    15000 |    15000 | no
       2001 |    15000 |    15000 | no
       2001 |     2399 |    15000 | yes
       2001 |     2400 |    15000 | no
";

/// The same with SIGKILL 1,000 ms after SIGTERM.
const GRACE_OF_1_S: &str = "
    arrived |  timeout | deadline | accepted
       1000 |    15000 |    15000 | no
       1000 |      400 |    15000 | yes
       1001 |      399 |    15000 | yes
       1001 |    15000 |      400 | no
";

/// The same with SIGKILL immediately after SIGTERM.
const NO_GRACE: &str = "
    arrived |  timeout | deadline | accepted
       1001 |    15000 |        1 | no
";

const SIGNALLED_AT: Duration = Duration::from_millis(1_000);

/// Guards against requests that are taken, run, and have their responses truncated at the exit.
#[test]
fn requests_are_accepted_only_if_they_are_sure_to_end_in_time() {
    for (grace, timeline) in [(8, GRACE_OF_8_S), (4, GRACE_OF_4_S), (1, GRACE_OF_1_S), (0, NO_GRACE)] {
        let deadline = DrainDeadline::new(SIGNALLED_AT, Duration::from_secs(grace));
        for line in timeline.lines().map(str::trim).filter(|line| !line.is_empty()).skip(1) {
            let columns: Vec<&str> = line.split('|').map(str::trim).collect();
            let (arrived, timeout) = (milliseconds(columns[0]), milliseconds(columns[1]));
            let ends_by = arrived + timeout.min(milliseconds(columns[2]));
            assert_eq!(deadline.accepts(ends_by), columns[3] == "yes", "{grace} s: {line}");
        }
    }
}

#[test]
fn the_proxy_exits_half_a_second_before_sigkill() {
    let deadline = DrainDeadline::new(SIGNALLED_AT, Duration::from_secs(8));
    let times = [deadline.closes_idle_at(), deadline.response_cutoff(), deadline.exits_at()];
    assert_eq!(times.map(|time| time.as_millis()), [3_900, 8_400, 8_500]);
}

quickcheck! {
    /// A request that is accepted ends before the process exits, for any grace period.
    fn accepted_requests_are_not_aborted(
        signalled_at: u16,
        grace: u16,
        arrives_after: u16,
        duration: u16
    ) -> bool {
        let [signalled_at, grace, arrives_after, duration] =
            [signalled_at, grace, arrives_after, duration].map(|time| Duration::from_millis(time.into()));
        let deadline = DrainDeadline::new(signalled_at, grace);
        let ends_by = signalled_at + arrives_after + duration;
        // Without any grace at the start of the process, everything happens at the time 0.
        !deadline.accepts(ends_by) || ends_by < deadline.exits_at() || deadline.exits_at().is_zero()
    }

    /// After a request has been rejected, no later request with the same duration is accepted.
    fn a_rejected_request_stays_rejected(grace: u16, arrives_after: u16, later: u16, duration: u16) -> bool {
        let [grace, arrives_after, later, duration] =
            [grace, arrives_after, later, duration].map(|time| Duration::from_millis(time.into()));
        let deadline = DrainDeadline::new(SIGNALLED_AT, grace);
        let accepts =
            |after: Duration| deadline.accepts(SIGNALLED_AT + after + duration);
        accepts(arrives_after) || !accepts(arrives_after + later)
    }
}

fn milliseconds(text: &str) -> Duration {
    Duration::from_millis(text.parse().expect("a number"))
}
