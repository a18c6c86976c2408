//! Late lease messages: grants from an epoch in which a node led earlier, and requests in an epoch that a
//! node claimed before another node was elected.

use quillpulley_protocol::{Body, LeaseGrant, NodeId};
use quillpulley_replication::{Event, Faults, Role};

use super::cluster::{Cluster, Step};
use super::{stable_cluster, COMPACT_LATE};

/// The round number of probes, which do not request the lease.
const PROBE_ROUND: u64 = 0;
const SHORT_TICK_MS: u64 = 10;

fn leads(cluster: &Cluster, node: usize) -> bool {
    matches!(cluster.nodes[node].replica.role(cluster.time()), Role::Primary { .. })
}

fn others(node: usize) -> [usize; 2] {
    [(node + 1) % 3, (node + 2) % 3]
}

/// Delivers a message before all others on its link.
fn inject(cluster: &mut Cluster, from: usize, to: usize, body: Body) {
    let id: NodeId = cluster.nodes[to].id;
    cluster.links.entry((from, to)).or_default().push_front((id, body));
    cluster.perform(Step::Deliver((from, to)));
}

/// Delivers the messages between two nodes until none is in flight.
fn exchange(cluster: &mut Cluster, one: usize, other: usize) {
    let links = [(one, other), (other, one)];
    while let Some(link) =
        links.into_iter().find(|link| cluster.links.get(link).is_some_and(|queue| !queue.is_empty()))
    {
        cluster.perform(Step::Deliver(link));
    }
}

/// Returns the witness, the receiver and the contents of a grant in the first round that is in flight.
fn first_grant(cluster: &Cluster) -> Option<(usize, usize, LeaseGrant)> {
    cluster.links.iter().find_map(|((from, to), queue)| {
        queue.iter().find_map(|(_, body)| match body {
            Body::LeaseGrant(grant) if grant.granted && grant.round == 1 => {
                Some((*from, *to, (**grant).clone()))
            }
            _ => None,
        })
    })
}

/// A node is elected, steps down, and is elected again with the vote of one other node. Then it receives a
/// grant that the third node sent after the first election. Returns whether the node holds the lease now.
fn is_leased_by_a_late_grant(faults: Faults) -> bool {
    let mut cluster = Cluster::new(3, faults, COMPACT_LATE);
    cluster.run(&[], |cluster| first_grant(cluster).is_some());
    let (witness, node, grant) = first_grant(&cluster).expect("no grant is in flight");
    cluster.run(&[], Cluster::is_complete);
    assert_eq!(cluster.leaders(), [node], "the node that received the grant does not lead");
    let other = 3 - node - witness;
    while !leads(&cluster, node) || cluster.activated_epochs.len() < 2 {
        for leader in [node, other] {
            let rest = others(leader);
            cluster.run(&rest, |cluster| !leads(cluster, leader));
        }
        cluster.links.clear();
        cluster.run(&[witness], |cluster| leads(cluster, node) || leads(cluster, other));
    }
    assert!(cluster.leaders().is_empty(), "a node holds the lease with only its own grant");
    inject(&mut cluster, witness, node, Body::LeaseGrant(Box::new(grant)));
    cluster.leaders() == [node]
}

#[test]
fn a_grant_from_an_earlier_epoch_gives_no_lease() {
    assert!(!is_leased_by_a_late_grant(Faults::default()));
    let faults = Faults { ignore_epoch_of_grant: true, ..Faults::default() };
    assert!(is_leased_by_a_late_grant(faults), "the injected fault is not detected");
}

/// A primary has learned of a high epoch and claims a higher one to drop a node. Then the other node is
/// partitioned from it too, and the two elect another primary in a lower epoch. Returns the holders of the
/// lease once the former primary is connected again to the node that was not elected; `None` if it steps down
/// before the election.
///
/// The claim follows a heartbeat closely and the former primary ticks often. Therefore it still holds its
/// lease when the claim times out, and claims the epoch again. `delay_ms` delays the campaign of the node
/// that it drops.
fn holders_after_a_contested_request(faults: Faults, delay_ms: u64) -> Option<Vec<usize>> {
    let mut cluster = stable_cluster(3, faults, COMPACT_LATE);
    let former = cluster.leaders()[0];
    let [dropped, third] = others(former);
    let epoch = cluster.nodes[former].replica.view().expect("no view").epoch;
    let reply = LeaseGrant {
        epoch,
        round: PROBE_ROUND,
        granted: true,
        promised: epoch + 5,
        last: Default::default(),
        member: true,
        witness: true,
    };
    inject(&mut cluster, third, former, Body::LeaseGrant(Box::new(reply)));
    let is_preparing = |cluster: &Cluster| {
        let sent = cluster.links.values().flatten();
        sent.filter_map(|(_, body)| match body {
            Body::Prepare(prepare) => Some(prepare.epoch),
            _ => None,
        })
        .any(|prepared| prepared > epoch)
    };
    while !is_preparing(&cluster) {
        cluster.links.retain(|(from, to), _| *from != dropped && *to != dropped);
        exchange(&mut cluster, former, third);
        cluster.now += SHORT_TICK_MS;
        cluster.perform(Step::Tick(former));
    }
    let former_id = cluster.nodes[former].id;
    for other in [dropped, third] {
        cluster.handle(other, Event::Disconnected(former_id));
    }
    let is_replaced = |cluster: &Cluster| cluster.leaders().iter().any(|leader| *leader != former);
    let campaigns_at = cluster.now + delay_ms;
    while !is_replaced(&cluster) {
        cluster.links.retain(|(from, to), _| *from != former && *to != former);
        cluster.now += SHORT_TICK_MS;
        for node in [dropped, third, former] {
            if node != dropped || cluster.now >= campaigns_at {
                cluster.perform(Step::Tick(node));
            }
        }
        exchange(&mut cluster, dropped, third);
    }
    if !leads(&cluster, former) {
        return None;
    }
    let elected = cluster.leaders()[0];
    let witness = 3 - former - elected;
    cluster.handle(witness, Event::Connected(former_id));
    cluster.links.clear();
    for _ in 0..20 {
        cluster.now += SHORT_TICK_MS;
        cluster.perform(Step::Tick(former));
        // The reply to its claim would tell the former primary that it was replaced.
        for queue in cluster.links.values_mut() {
            queue.retain(|(_, body)| !matches!(body, Body::Prepare(_)));
        }
        exchange(&mut cluster, former, witness);
    }
    Some(cluster.leaders())
}

#[test]
fn no_lease_is_granted_in_a_prepared_epoch_while_another_lease_is_valid() {
    let count_holders = |faults: Faults| -> Vec<usize> {
        let holders =
            (0..14).filter_map(|step| holders_after_a_contested_request(faults, step * 3 * SHORT_TICK_MS));
        holders.map(|holders| holders.len()).collect()
    };
    let without_fault = count_holders(Faults::default());
    assert!(without_fault.len() > 5 && without_fault.iter().all(|count| *count <= 1), "{without_fault:?}");
    let faults = Faults { grant_under_lease: true, ..Faults::default() };
    assert!(count_holders(faults).contains(&2), "the injected fault is not detected");
}
