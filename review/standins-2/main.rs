//! The cases of the second review: `case NAME RECORD` plays one and exits with 1 if its rule was broken, 0 if it held
//! and 2 if it could not run.

mod deployment;

mod cold_again;
mod cold_restart;
mod ended_reading;
mod late_copy;
mod moved_list;

fn main() {
    let verdict = match std::env::args().nth(1).as_deref() {
        Some("ended_reading") => ended_reading::play(),
        Some("late_copy") => late_copy::play(),
        Some("moved_list") => moved_list::play(),
        Some("cold_restart") => cold_restart::play(),
        Some("cold_again") => cold_again::play(),
        _ => deployment::cannot_run("usage: case NAME RECORD"),
    };
    std::process::exit(verdict)
}
