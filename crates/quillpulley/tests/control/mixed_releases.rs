//! Tests that control processes of an earlier release and of the current one work together, while they are
//! replaced one by one and commands are executed.

use crate::cluster::{Cluster, Operation};
use crate::configuration;
use std::path::{Path, PathBuf};

/// The environment variable that contains the path of the earlier release's program.
const EARLIER_PROGRAM: &str = "QUILLPULLEY_EARLIER_PROGRAM";
const MACHINE_COUNT: usize = 3;

/// Activates five more configurations, each based on the one before, and starts and ends an evacuation.
fn execute_commands(cluster: &mut Cluster, version: &mut u64) {
    for _ in 0..5 {
        let next = configuration(&(*version + 1).to_string());
        assert_eq!(cluster.call_until_definite(&Operation::replace(*version, next)).status, 200);
        *version += 1;
    }
    assert_eq!(cluster.call_until_definite(&Operation::start_evacuation("a")).status, 200);
    assert_eq!(cluster.call_until_definite(&Operation::end_evacuation("a")).status, 200);
}

/// Returns the epoch of a view that contains all machines and survives every tolerated failure, as the
/// primary reports it; `None` if there is no such view.
fn complete_view(cluster: &Cluster) -> Option<u64> {
    (0..MACHINE_COUNT).find_map(|index| {
        let status = String::from_utf8(cluster.call(index, &Operation::status())?.body).ok()?;
        let members = status.split_once("\"Members\":[")?.1.split_once(']')?.0;
        let is_complete = members.matches("\"Address\"").count() == MACHINE_COUNT;
        let is_primary = status.contains("\"Role\":\"primary\"") && status.contains("\"Covered\":true");
        let epoch = status.split_once("\"Epoch\":")?.1.split_once(',')?.0.parse().ok()?;
        (is_complete && is_primary).then_some(epoch)
    })
}

fn replace_program(cluster: &mut Cluster, index: usize, program: &Path, version: &mut u64) {
    let before = cluster.wait_for("a complete view", complete_view);
    assert!(cluster.terminate(index).success());
    execute_commands(cluster, version);
    cluster.set_program(index, program);
    cluster.start_process(index);
    execute_commands(cluster, version);
    cluster
        .wait_for("a complete view again", |cluster| complete_view(cluster).filter(|epoch| *epoch > before));
    execute_commands(cluster, version);
    let newest = configuration(&version.to_string());
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, newest);
}

#[test]
#[ignore = "needs the program of an earlier release, named by QUILLPULLEY_EARLIER_PROGRAM"]
fn processes_of_two_releases_work_together_while_they_are_replaced() {
    let earlier =
        PathBuf::from(std::env::var_os(EARLIER_PROGRAM).expect("QUILLPULLEY_EARLIER_PROGRAM is not set"));
    let current = PathBuf::from(env!("CARGO_BIN_EXE_quillpulley"));
    let mut cluster = Cluster::prepare(MACHINE_COUNT, None);
    for index in 0..MACHINE_COUNT {
        cluster.set_program(index, &earlier);
        cluster.start_process(index);
    }
    let mut version = 0;
    execute_commands(&mut cluster, &mut version);
    for program in [&current, &earlier, &current] {
        for index in 0..MACHINE_COUNT {
            replace_program(&mut cluster, index, program, &mut version);
        }
    }
    // The primary is also killed: first while all machines run the current release, then while one of them
    // runs the earlier one. A killed machine restarts with the earlier release.
    for _ in 0..2 {
        let primary = cluster.primary();
        cluster.kill(primary);
        execute_commands(&mut cluster, &mut version);
        cluster.set_program(primary, &earlier);
        cluster.start_process(primary);
        execute_commands(&mut cluster, &mut version);
        cluster.wait_for("a complete view", complete_view);
    }
}
