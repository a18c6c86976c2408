//! What has to be durable at the sender before each message is sent. The receiver relies on it even after the
//! sender has restarted.

use quillpulley_protocol::Body;

use super::disk::DiskImage;

/// What a message implies about the disk of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// The disk holds a promise of this epoch or a higher one.
    Promised(u64),
    /// The disk holds an accepted view of this epoch or a higher one.
    Accepted(u64),
    /// The log on the disk reaches this index.
    Stored(u64),
}

/// Returns the first requirement of a message that the disk of its sender does not meet.
pub fn missing_on_disk(body: &Body, disk: &DiskImage) -> Option<Requirement> {
    requirements(body).into_iter().find(|requirement| !holds(*requirement, disk))
}

fn requirements(body: &Body) -> Vec<Requirement> {
    use Requirement::{Accepted, Promised, Stored};
    match body {
        Body::Prepare(prepare) if !prepare.pre_vote => vec![Promised(prepare.epoch)],
        Body::Promise(promise) if promise.granted && !promise.pre_vote => vec![Promised(promise.epoch)],
        Body::FetchState(fetch) => vec![Promised(fetch.epoch)],
        Body::StateTransfer(transfer) => vec![Promised(transfer.epoch)],
        Body::Append(append) => vec![Promised(append.epoch)],
        Body::Install(install) => vec![Promised(install.epoch)],
        Body::AppendAck(ack) if ack.matched => vec![Promised(ack.epoch), Stored(ack.last.index)],
        Body::Installed(installed) if installed.ok => {
            vec![Promised(installed.epoch), Stored(installed.last.index)]
        }
        Body::Accept(accept) => vec![Promised(accept.view.epoch)],
        Body::Accepted(accepted) if accepted.granted => {
            vec![Promised(accepted.epoch), Accepted(accepted.epoch)]
        }
        Body::LeaseRequest(request) => vec![Promised(request.epoch)],
        Body::LeaseGrant(grant) if grant.granted => vec![Promised(grant.epoch)],
        _ => Vec::new(),
    }
}

fn holds(requirement: Requirement, disk: &DiskImage) -> bool {
    let record = disk.record.as_ref();
    match requirement {
        Requirement::Promised(epoch) => record.is_some_and(|record| record.promised >= epoch),
        Requirement::Accepted(epoch) => {
            let accepted = record.and_then(|record| record.accepted.as_ref());
            accepted.is_some_and(|view| view.epoch >= epoch)
        }
        Requirement::Stored(index) => end_of_log(disk) >= index,
    }
}

fn end_of_log(disk: &DiskImage) -> u64 {
    let snapshot = disk.snapshot.as_ref().map_or(0, |(last, _)| last.index);
    disk.entries.last().map_or(snapshot, |entry| entry.index)
}
