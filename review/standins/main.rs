//! Stand-ins for the review cases: the platform, servers, operators, clients and the links between them. They start the
//! project's own programs as separate processes, with the commands of `deploy/system.toml`, on loopback addresses.
//!
//! `standins CASE` runs one case from the root of the repository. It exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case could not run. With `TROUBLE=0` it does the same without the disruption.

mod http;
mod late_order;
mod operator;
mod record;
mod relay;
mod server;
mod slow_answers;
mod slow_client;
mod stuck_api;
mod system;

use record::Record;
use system::System;

/// The outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = format!("review/{case}");
    let record = Record::create(&format!("{folder}/record.txt"));
    record.line(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let verdict = match System::new(record.clone()) {
        Err(error) => Verdict::CouldNotRun(error),
        Ok(mut system) => {
            let verdict = match case.as_str() {
                "1" => slow_answers::run(&mut system, trouble),
                "2" => late_order::run(&mut system, trouble),
                "3" => stuck_api::run(&mut system, trouble),
                _ => Verdict::CouldNotRun(format!("there is no case {case:?}")),
            };
            let ended = system.ended_processes();
            system.stop();
            match verdict {
                Verdict::CouldNotRun(error) => Verdict::CouldNotRun(error),
                _ if !ended.is_empty() => Verdict::CouldNotRun(format!("processes ended: {ended:?}")),
                verdict => verdict,
            }
        }
    };
    let (line, code) = match verdict {
        Verdict::Held => ("the rule held".to_string(), 0),
        Verdict::Broken => ("the rule was broken".to_string(), 1),
        Verdict::CouldNotRun(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&line);
    println!("case {case}, TROUBLE={}: {line}", u8::from(trouble));
    std::process::exit(code);
}
