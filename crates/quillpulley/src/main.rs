//! The program `quillpulley`: parses the command line, and runs one role or checks files.
#![forbid(unsafe_code)]

mod check;
mod command_line;

use std::process::ExitCode;

fn main() -> ExitCode {
    command_line::run(std::env::args_os().skip(1).collect())
}
