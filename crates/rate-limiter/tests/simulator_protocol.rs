//! Runs the program `rate-limiter-sim` as a process, and checks the lines that it writes in response to its
//! input.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_rate-limiter-sim"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start");
    // A process that exits with an error closes its input early, so that writing may fail.
    let _ = child.stdin.take().expect("stdin").write_all(input.as_bytes());
    child.wait_with_output().expect("run")
}

const CONFIG: &str = r#"{"me":0,"peers-total":2,"zone":"a","period-s":0.002,"new-key":[1],"discovery":"on_request",
"classes":[{"name":"read","aim-s":1.0,"deadline-s":4.0,"effect":"read_like","group":"all","worth":1.0}],
"tariffs":[{"name":"plain","rate":10.0,"depth":20.0,"pays":1.0}],
"family-info":{"has-counter":true,"count-limit-s":0.05},"limits":{"max-attempts":3,"cancel":true,"retry-after":true,
"max-retry-after-s":2.0},"invariants":{"ramp-time-s":10.0,"start-capacity":0.2,"fall-multiple":3.0,"overload-for-s":2.0}}"#;

fn first_batch() -> String {
    let config = CONFIG.replace('\n', "");
    format!("TURN 10 1\nPROVISION 0 7 {config}\nREGISTRY 0 stale_copy 1 1\nITEM s:1 a std 0 in_service 1 -\nOVER_TO_YOU\n")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn a_request_is_sent_counted_and_finished() {
    let output = run(&(first_batch()
        + "TURN 10.5 2\nSUBMIT 0 5 0 0 14.5 2 1 0 plain read key:a extra\nOVER_TO_YOU\n"
        + "TURN 10.6 3\nALARM 0 0\nENDED 0 5 0 0 1 s:1 0.1 100 - rif:3,busy:0.5\nOVER_TO_YOU\n"));
    let text = stdout(&output);
    assert!(output.status.success(), "{text}");
    assert!(text.contains("FOLLOW 0 1\n"), "{text}");
    assert!(text.contains("ASSIGN 0 5 0 s:1\n"), "{text}");
    // A new limiter calls the counter for half of the requests, and each call represents two.
    assert!(!text.contains("INCR 0 ") || text.contains(" 2 40\n"), "{text}");
    assert!(text.contains("DEFER 0 "), "{text}");
    assert!(text.ends_with("NEXT 3\n"), "{text}");
}

#[test]
fn all_other_events_are_accepted() {
    let output = run(&(first_batch()
        + "TURN 11 2\nFIRST 0 5 0 s:1 0.1\nCLIENT_GONE 0 5\nTOTAL 0 3 100 0.002 x\nTOTAL 0 - 303 0.05 x\n"
        + "HEALTH_RESULT 0 s:1 0.001 100 busy:0.5\nINBOX 0 1 68\nALARM 0 someones\nNEW_KIND 0 1 2 3\n"
        + "REGISTRY 0 broken 2 0\nREGISTRY 0 patch 3 2\nITEM s:1 a std 0 terminating 1 -\nITEM s:2 b std 1 terminated 1 4\n"
        + "DESTROY 0\nSUBMIT 0 6 0 0 14.5 2 1 0 plain read key:a\nOVER_TO_YOU\nTURN 12 3\nOVER_TO_YOU\n"));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(stdout(&output).ends_with("NEXT 2\nNEXT 3\n"), "{}", stdout(&output));
}

#[test]
fn rejections_and_failures_are_written() {
    let draining = "REGISTRY 0 patch 2 1\nITEM s:1 a std 0 terminating 1 -\n";
    let output = run(&(first_batch()
        + "TURN 11 2\n"
        + draining
        + "SUBMIT 0 5 0 0 14.5 2 1 0 plain read key:a\nOVER_TO_YOU\n"));
    assert!(stdout(&output).contains("SAY_NO 0 5 0.5\n"), "{}", stdout(&output));
    let late = "TURN 11 2\nSUBMIT 0 5 0 0 14.5 2 1 0 plain read key:a\nOVER_TO_YOU\nTURN 14.5 3\nALARM 0 21\nOVER_TO_YOU\n";
    let output = run(&(first_batch() + late));
    assert!(stdout(&output).contains("END_FAILED 0 5\nSTOP_ATTEMPT 0 5 0\n"), "{}", stdout(&output));
}

#[test]
fn malformed_input_ends_with_a_message_and_a_failure() {
    for (lines, word) in [
        ("HELLO\n", "TURN is due"),
        ("TURN x 1\n", "clock"),
        ("TURN 1 1\nSUBMIT 0 5 0 0 soon 2 1 0 plain read key:a\n", "due-s"),
        ("TURN 1 1\nSUBMIT 0 5\n", "missing"),
        ("TURN 1 1\nENDED 0 5 0 0 1 s:1 0.1 999 - -\n", "code"),
        ("TURN 1 1\nPROVISION 0 7 {\"me\":\n", "config"),
        ("TURN 1 1\nREGISTRY 0 whole 1 2\nOVER_TO_YOU\n", "ITEM"),
        ("TURN 1 1\n", "ended within a batch"),
    ] {
        let output = run(lines);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{lines}");
        assert!(message.contains(word) && message.contains("line "), "{lines}: {message}");
        assert!(!message.contains("panicked"), "{message}");
    }
}

#[test]
fn end_of_input_between_batches_is_success() {
    assert!(run("").status.success());
    assert!(run(&first_batch()).status.success());
}

#[test]
fn a_restarted_instance_inherits_no_state() {
    let config = CONFIG.replace('\n', "");
    let list = "REGISTRY 0 stale_copy 1 1\nITEM s:1 a std 0 in_service 1 -\n";
    let submit = |id: u32| format!("SUBMIT 0 {id} 0 0 14.5 2 1 0 plain read key:a\n");
    // In one batch, instance 0 gets a request and is destroyed, and another one starts under the same number.
    // Instance 1 keeps running.
    let output = run(&(first_batch()
        + &format!("TURN 10.5 2\nPROVISION 1 7 {config}\n{}", list.replace("REGISTRY 0", "REGISTRY 1"))
        + &submit(5)
        + "SUBMIT 1 6 0 0 14.5 2 1 0 plain read key:a\nDESTROY 0\n"
        + &format!("PROVISION 0 8 {config}\n{list}{}OVER_TO_YOU\n", submit(7))
        // A timer of the first instance, the end of its attempt, and a timer that was never set.
        + "TURN 10.6 3\nALARM 0 0\nENDED 0 5 0 0 0 s:1 0.1 301 - -\nALARM 0 0.9\nOVER_TO_YOU\n"
        + "TURN 10.7 4\nALARM 0 0.1\nOVER_TO_YOU\n"
        // An instance that is destroyed and not replaced performs no further action, even for a request in
        // the same batch.
        + &format!("TURN 10.8 5\n{}DESTROY 0\nOVER_TO_YOU\n", submit(8))));
    let text = stdout(&output);
    assert!(output.status.success(), "{text}");
    let batch = |n: u32| {
        let after = text.split(&format!("NEXT {}\n", n - 1)).nth(1).unwrap_or_default();
        after.split(&format!("NEXT {n}\n")).next().unwrap_or_default().to_string()
    };
    assert!(!batch(2).contains("ASSIGN 0 5 "), "the first instance is destroyed: {}", batch(2));
    for kept in ["ASSIGN 1 6 0 s:1\n", "ASSIGN 0 7 0 s:1\n", "DEFER 0 10.55 0.1\n"] {
        assert!(batch(2).contains(kept), "{kept}: {}", batch(2));
    }
    assert_eq!(batch(3), "", "no event of the first instance reaches the second one");
    assert!(batch(4).contains("DEFER 0 "), "the second instance handles its own timers: {}", batch(4));
    assert_eq!(batch(5), "");
}
