//! Runs the whole system as real processes while clients keep using their open connections, and planned work
//! comes in series and overlaps: signals, restarts, changed configurations, evacuations. Checks that no answer is
//! lost, that nothing runs twice or against a promise, and that every answer is the server's.
//!
//! The rules bind around planned work only, so no process is killed. By hand, with more seeds, and with as many processes as a machine bears:
//!
//! ```sh
//! SOAK_SEEDS=1-50 SOAK_JOBS=5 cargo test --release --locked -p quillpulley --test soak -- --nocapture
//! SOAK_SEEDS=51-90 SOAK_JOBS=40 cargo test --release ... --test soak -- --nocapture
//! ```

mod answers;
mod client;
#[allow(dead_code)] // `tests/system` uses the rest.
#[path = "../system/http.rs"]
mod http;
#[allow(dead_code)] // `tests/system` uses the rest.
#[path = "../system/machines.rs"]
mod machines;
mod parameters;
mod planned_work;
#[allow(dead_code)] // `tests/system` uses the rest.
#[path = "../system/platform.rs"]
mod platform;
#[allow(dead_code)] // `tests/system` uses the rest.
#[path = "../system/processes.rs"]
mod processes;
mod server;
mod world;

use parameters::Parameters;
use std::sync::Mutex;
use std::thread;
use world::run_seed;

/// Guards against answers that are lost while processes end, restart, reload and change their configuration.
#[test]
fn no_answer_is_lost_around_planned_work() {
    let parameters = Parameters::from_environment();
    let seeds = Mutex::new(parameters.seeds.clone());
    let failures = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..parameters.jobs {
            scope.spawn(|| loop {
                let next = seeds.lock().expect("no thread panicked").next();
                let Some(seed) = next else { return };
                let summary = run_seed(seed, &parameters);
                println!("seed {seed}: {summary}");
                if !summary.violations.is_empty() {
                    failures.lock().expect("no thread panicked").push((seed, summary.violations));
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no thread panicked");
    assert!(failures.is_empty(), "{failures:#?}");
}
