//! Tests of control nodes that run as processes: their responses to operators, and the state that survives
//! when processes end.

use crate::api::request_text;
use crate::cluster::{Cluster, Operation, TIMEOUT};
use crate::configuration;
use std::io::{Read, Write};
use std::net::TcpStream;

fn replace(cluster: &mut Cluster, base: u64, version: &str) -> u16 {
    cluster.call_until_definite(&Operation::replace(base, configuration(version))).status
}

#[test]
fn one_process_accepts_commands_and_keeps_them() {
    let mut cluster = Cluster::start(1, None);
    assert_eq!(cluster.call_until_definite(&Operation::get()).status, 404);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    assert_eq!(replace(&mut cluster, 0, "6"), 412);
    assert_eq!(replace(&mut cluster, 5, "4"), 400);
    assert_eq!(cluster.call_until_definite(&Operation::replace(5, b"{\"Version\":".to_vec())).status, 400);
    assert_eq!(cluster.call_until_definite(&Operation::start_evacuation("a")).status, 200);
    assert_eq!(cluster.call_until_definite(&Operation::start_evacuation("a")).status, 200);
    assert_eq!(cluster.call_until_definite(&Operation::end_evacuation("a")).status, 200);
    assert_eq!(replace(&mut cluster, 5, "7"), 200);
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("7"));

    cluster.kill(0);
    cluster.start_process(0);
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("7"));
    assert_eq!(replace(&mut cluster, 0, "5"), 200, "an earlier command is repeated");
    assert_eq!(replace(&mut cluster, 5, "8"), 412);
    assert!(cluster.terminate(0).success());
    cluster.start_process(0);
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("7"));
}

#[test]
fn another_process_takes_over_from_a_primary_that_is_killed() {
    let mut cluster = Cluster::start(3, None);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    let first = cluster.primary();
    cluster.kill(first);
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("5"));
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    assert_eq!(replace(&mut cluster, 5, "6"), 200);
    let second = cluster.primary();
    assert_ne!(second, first);

    // The former primary is started again, and redirects callers to the new one.
    cluster.start_process(first);
    let expected = format!("http://{}/v1/Config.Get", cluster.control_address(second));
    cluster.wait_for("a redirect", |cluster| {
        let response = cluster.call(first, &Operation::get())?;
        (response.status == 307 && response.location.as_ref() == Some(&expected)).then_some(())
    });
    // Once the former primary is a member again, the third machine may fail.
    let third = 3 - first - second;
    cluster.wait_for_member(first);
    cluster.kill(third);
    assert_eq!(replace(&mut cluster, 6, "9"), 200);
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("9"));
}

#[test]
fn a_primary_that_is_signalled_to_shut_down_hands_over_at_once() {
    let mut cluster = Cluster::start(3, None);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    let first = cluster.primary();
    assert!(cluster.terminate(first).success());
    assert_eq!(replace(&mut cluster, 5, "6"), 200);
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("6"));
}

#[test]
fn a_primary_that_was_suspended_gives_no_outdated_response() {
    let mut cluster = Cluster::start(3, None);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    let first = cluster.primary();
    cluster.signal(first, "-STOP");
    // These requests wait in the sockets of the process until it continues.
    let calls = [
        Operation::get(),
        Operation::replace(0, configuration("5")),
        Operation::replace(5, configuration("7")),
    ];
    let frozen = cluster.control_address(first);
    let waiting = calls.map(|call| std::thread::spawn(move || call.send(frozen)));
    let next = Operation::replace(5, configuration("6"));
    cluster.wait_for("another primary that accepts the next configuration", |cluster| {
        let others = (0..3).filter(|index| *index != first);
        let statuses = others.filter_map(|index| cluster.call(index, &next).map(|response| response.status));
        statuses.into_iter().any(|status| status == 200).then_some(())
    });
    cluster.signal(first, "-CONT");
    for call in waiting {
        let response = call.join().expect("the client thread panicked");
        assert!(response.is_none_or(|response| response.status == 307 || response.status == 503));
    }
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("6"));
}

#[test]
fn the_state_survives_if_all_processes_are_killed_at_once() {
    let mut cluster = Cluster::start(3, None);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    assert_eq!(cluster.call_until_definite(&Operation::start_evacuation("a")).status, 200);
    for index in 0..3 {
        cluster.kill(index);
    }
    for index in 0..3 {
        cluster.start_process(index);
    }
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("5"));
    assert_eq!(replace(&mut cluster, 5, "6"), 200);
}

#[test]
fn a_machine_that_lost_its_disk_recovers_the_state() {
    let mut cluster = Cluster::start(3, None);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    let first = cluster.primary();
    cluster.kill(first);
    cluster.wipe_disk(first);
    cluster.start_process(first);
    let second = cluster.primary();
    assert_eq!(replace(&mut cluster, 5, "6"), 200);
    // Once the machine is a member and a witness as a new incarnation, a machine that kept its state may
    // fail.
    cluster.wait_for_member(first);
    cluster.wait_for_witnesses(&[0, 1, 2]);
    cluster.kill(second);
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("6"));
    assert_eq!(replace(&mut cluster, 6, "7"), 200);
}

#[test]
fn a_new_machine_replaces_a_lost_one() {
    let mut cluster = Cluster::start(3, None);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    let first = cluster.primary();
    cluster.kill(first);
    let others: Vec<usize> = (0..3).filter(|index| *index != first).collect();
    let seeds = others.iter().map(|index| cluster.control_address(*index)).collect();
    let added = cluster.add(false, seeds);
    cluster.start_process(added);
    cluster.wait_for_member(added);
    cluster.wait_for_witnesses(&[others[0], others[1], added]);
    // The new machine and one of the old ones are enough.
    cluster.kill(others[0]);
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("5"));
    assert_eq!(replace(&mut cluster, 5, "6"), 200);
}

/// Starts a cluster of three machines and a fourth process, whose only seed does not exist. Then replaces
/// that seed in the settings file. Returns the cluster and the index of the fourth machine.
fn with_isolated_machine() -> (Cluster, usize) {
    let mut cluster = Cluster::start(3, None);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    let missing_seed = vec![cluster.control_address(9)];
    let isolated = cluster.add(false, missing_seed);
    cluster.start_process(isolated);
    cluster.wait_for("a response without a primary", |cluster| {
        cluster.call(isolated, &Operation::get()).filter(|response| response.status == 503)
    });
    let seeds = vec![cluster.control_address(0)];
    cluster.set_seeds(isolated, seeds);
    (cluster, isolated)
}

fn wait_for_redirect(cluster: &mut Cluster, index: usize) {
    cluster.wait_for("a redirect", |cluster| {
        cluster.call(index, &Operation::get()).filter(|response| response.status == 307)
    });
}

#[test]
fn seeds_are_read_again_on_a_signal() {
    let (mut cluster, isolated) = with_isolated_machine();
    cluster.signal(isolated, "-HUP");
    wait_for_redirect(&mut cluster, isolated);
}

#[test]
fn an_isolated_machine_reads_its_seeds_again_without_a_signal() {
    let (mut cluster, isolated) = with_isolated_machine();
    wait_for_redirect(&mut cluster, isolated);
}

#[test]
fn an_unusable_disk_ends_the_process_at_its_start() {
    let mut cluster = Cluster::start(1, None);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    cluster.kill(0);
    cluster.break_disk(0);
    cluster.start_process(0);
    assert_eq!(cluster.wait(0).code(), Some(2));
}

#[test]
fn a_process_that_is_signalled_to_shut_down_stays_until_another_has_its_data() {
    let mut cluster = Cluster::start(3, None);
    assert_eq!(replace(&mut cluster, 0, "5"), 200);
    let primary = cluster.primary();
    let (wiped, leaving) = ((primary + 1) % 3, (primary + 2) % 3);
    cluster.kill(wiped);
    cluster.wipe_disk(wiped);
    assert_eq!(replace(&mut cluster, 5, "6"), 200);
    cluster.signal(leaving, "-TERM");
    cluster.wait_for("a status with the role `leaving`", |cluster| {
        let response = cluster.call(leaving, &Operation::status())?;
        String::from_utf8_lossy(&response.body).contains(r#""Role":"leaving""#).then_some(())
    });
    // Only two of the three disks have the configuration, one of them that of the process that shuts down. A
    // command is still stored on both.
    assert_eq!(replace(&mut cluster, 6, "7"), 200);
    cluster.start_process(wiped);
    cluster.wait_for_member(wiped);
    assert!(cluster.wait(leaving).success());
    cluster.kill(primary);
    cluster.start_process(primary);
    assert_eq!(cluster.call_until_definite(&Operation::get()).body, configuration("7"));
}

#[test]
fn every_process_reports_its_status() {
    let mut cluster = Cluster::start(3, None);
    let primary = cluster.primary();
    let is_covered = |cluster: &Cluster| {
        let response = cluster.call(primary, &Operation::status())?;
        let text = String::from_utf8(response.body).ok()?;
        text.contains(r#""Covered":true"#).then_some(text)
    };
    let text = cluster.wait_for("a status in which every tolerated failure is covered", is_covered);
    assert!(text.contains(r#""Role":"primary""#), "{text}");
    cluster.wait_for("a status with one spare witness", |cluster| {
        let response = cluster.call(primary, &Operation::status())?;
        String::from_utf8_lossy(&response.body).contains(r#""SpareWitnesses":1"#).then_some(())
    });
    for index in 0..3 {
        let place = format!(r#"{{"Address":"{}","Zone":"zone-{index}""#, cluster.address(index));
        assert!(text.contains(&place), "{text}");
        let response = cluster.call(index, &Operation::status()).expect("no response");
        assert_eq!(response.status, 200);
    }
    cluster.kill((primary + 1) % 3);
    cluster.kill((primary + 2) % 3);
    // Without the lease the process still reports its status, which names no primary.
    cluster.wait_for("a status without a primary", |cluster| {
        let response = cluster.call(primary, &Operation::status())?;
        String::from_utf8_lossy(&response.body).contains(r#""Primary":null"#).then_some(())
    });
}

/// The connections of copies that are held up on their way, one to each machine.
struct HeldUpCopies(Vec<TcpStream>);

impl HeldUpCopies {
    fn connect(cluster: &Cluster) -> Self {
        let connect = |index| TcpStream::connect(cluster.control_address(index)).expect("cannot connect");
        HeldUpCopies((0..3).map(connect).collect())
    }

    /// Has the copies of an order arrive, on connections whose ends never follow, and returns their statuses.
    fn arrive(self, path: &str) -> Vec<String> {
        let arrive = |mut copy: TcpStream| {
            copy.write_all(request_text("POST", path).as_bytes()).ok()?;
            copy.set_read_timeout(Some(TIMEOUT)).ok()?;
            let mut response = String::new();
            copy.read_to_string(&mut response).ok()?;
            response.split(' ').nth(1).map(str::to_string)
        };
        self.0.into_iter().map(|copy| arrive(copy).unwrap_or_default()).collect()
    }
}

/// Guards against late copies of orders that undo later ones, however long the ends of their connections take: at the
/// primary, at backups, and at a node that has become the primary since.
#[test]
fn late_copies_of_an_order_are_not_executed() {
    let mut cluster = Cluster::start(3, None);
    for (order, opposite) in [("Start", "End"), ("End", "Start")] {
        let operation = |name: &str| match name {
            "Start" => Operation::start_evacuation("a"),
            _ => Operation::end_evacuation("a"),
        };
        let status = |cluster: &mut Cluster, name| cluster.call_until_definite(&operation(name)).status;
        assert_eq!(status(&mut cluster, order), 200);
        let (copies, more_copies) = (HeldUpCopies::connect(&cluster), HeldUpCopies::connect(&cluster));
        assert_eq!(status(&mut cluster, opposite), 200);
        assert_eq!(status(&mut cluster, order), 200);
        let path = format!("/v1/Evacuate.{opposite}/a");
        let primary = cluster.primary();
        let statuses = copies.arrive(&path);
        assert_eq!(statuses[primary], "307", "late copies of {opposite}: {statuses:?}");
        assert!(statuses.iter().all(|status| status != "200"), "{statuses:?}");
        // Had one been executed, the order would have to be confirmed.
        assert_eq!(cluster.call(primary, &operation(order)).map(|response| response.status), Some(200));

        cluster.kill(primary);
        let next = cluster.primary();
        let statuses = more_copies.arrive(&path);
        assert_eq!(
            statuses[next], "307",
            "late copies of {opposite} after a change of primary: {statuses:?}"
        );
        assert!(statuses.iter().all(|status| status != "200"), "{statuses:?}");
        assert_eq!(cluster.call(next, &operation(order)).map(|response| response.status), Some(200));
        cluster.start_process(primary);
        cluster.wait_for_member(primary);
    }
}
