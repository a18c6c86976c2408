//! Tests of recovery after losses of power, killed processes, failed calls and full disks. The effect of
//! every successful call must be found, and nothing that no call has requested.

mod common;

use common::disk::{Disk, Fault, Random};
use common::*;
use quickcheck::{quickcheck, Arbitrary, Gen, QuickCheck};
use quillpulley_protocol::{Entry, Position};
use quillpulley_storage::{Recovered, Storage, StorageError};

#[derive(Clone, Debug)]
enum Operation {
    SaveRecord,
    /// Appends entries, of which the first is `before_end` entries before the end of the log: up to
    /// `stored_count` entries that are stored, then `new_count` entries that are not.
    Append {
        before_end: u8,
        stored_count: u8,
        new_count: u8,
    },
    /// Compacts the log at an index that `index_choice` chooses, from the snapshot to the first index after
    /// the log.
    Compact {
        index_choice: u8,
    },
    /// Installs a snapshot at `index`, before or after the end of the log, followed by `new_count` entries.
    Install {
        index: u8,
        new_count: u8,
    },
    /// Kills the process and starts it again.
    Kill,
    /// Interrupts the power of the machine, and starts the process again.
    LosePower,
}

#[derive(Clone, Debug)]
struct Step {
    operation: Operation,
    /// The fault that occurs, and the number of disk operations before it.
    fault: Option<(Fault, usize)>,
}

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    steps: Vec<Step>,
}

impl Arbitrary for Step {
    fn arbitrary(gen: &mut Gen) -> Self {
        let small = |gen: &mut Gen| u8::arbitrary(gen) % 6;
        let operation = match u8::arbitrary(gen) % 16 {
            0 | 1 => Operation::SaveRecord,
            2..=9 => {
                Operation::Append { before_end: small(gen), stored_count: small(gen), new_count: small(gen) }
            }
            10 | 11 => Operation::Compact { index_choice: u8::arbitrary(gen) },
            12 | 13 => Operation::Install { index: u8::arbitrary(gen) % 40, new_count: small(gen) },
            14 => Operation::Kill,
            _ => Operation::LosePower,
        };
        let faults = [Fault::PowerLoss, Fault::OneCallFails, Fault::AllWritesFail, Fault::GrowthFails];
        let fault = *gen.choose(&faults).expect("faults");
        let operations_before = usize::arbitrary(gen) % 10;
        Step { operation, fault: (u8::arbitrary(gen) % 3 == 0).then_some((fault, operations_before)) }
    }
}

impl Arbitrary for Scenario {
    fn arbitrary(gen: &mut Gen) -> Self {
        Scenario { seed: u64::arbitrary(gen), steps: Vec::arbitrary(gen) }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        Box::new(self.steps.shrink().map(move |steps| Scenario { seed, steps }))
    }
}

/// The snapshot and the entries after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct State {
    snapshot: Option<(Position, Vec<u8>)>,
    entries: Vec<Entry>,
}

impl State {
    fn summary(&self) -> String {
        let entries: Vec<String> =
            self.entries.iter().map(|entry| format!("{}/{}", entry.epoch, entry.index)).collect();
        format!("{:?} {}", self.snapshot.as_ref().map(|(last, _)| *last), entries.join(" "))
    }

    fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |(last, _)| last.index)
    }

    fn last_index(&self) -> u64 {
        self.snapshot_index() + self.entries.len() as u64
    }

    /// Returns the state with the log truncated after `last_index`.
    fn truncated(&self, last_index: u64) -> State {
        let kept = last_index.saturating_sub(self.snapshot_index()) as usize;
        State {
            snapshot: self.snapshot.clone(),
            entries: self.entries[..kept.min(self.entries.len())].to_vec(),
        }
    }

    fn appended(&self, entries: &[Entry]) -> State {
        let Some(first) = entries.first() else { return self.clone() };
        let mut state = self.truncated(first.index - 1);
        state.entries.extend_from_slice(entries);
        state
    }

    fn compacted(&self, last: Position, snapshot: &[u8]) -> State {
        let entries = self.entries.iter().filter(|entry| entry.index > last.index).cloned().collect();
        State { snapshot: Some((last, snapshot.to_vec())), entries }
    }
}

/// A storage, with a model of its contents and of the results that recovery may have.
struct CheckedStorage {
    disk: Disk,
    storage: Storage<Disk>,
    /// The state after all successful calls.
    state: State,
    /// The states that recovery may find: `state`, and the outcomes of calls that failed since the last
    /// successful one.
    possible_states: Vec<State>,
    /// The records that recovery may find.
    possible_records: Vec<Option<Vec<u8>>>,
    /// The number of the current step. It makes the data of each step unique.
    step_number: u64,
    random: Random,
}

impl CheckedStorage {
    fn new(seed: u64) -> CheckedStorage {
        let disk = Disk::new(seed);
        let (storage, found) = open(&disk);
        assert_eq!(found, Recovered::default());
        CheckedStorage {
            disk,
            storage,
            state: State::default(),
            possible_states: vec![State::default()],
            possible_records: vec![None],
            step_number: 0,
            random: Random(seed),
        }
    }

    fn run_step(&mut self, step: &Step) {
        if let Some((fault, operations_before)) = step.fault {
            self.disk.schedule(fault, operations_before);
        }
        self.step_number += 1;
        match step.operation.clone() {
            Operation::SaveRecord => self.save_record(),
            Operation::Append { before_end, stored_count, new_count } => {
                self.append(before_end.into(), stored_count.into(), new_count.into())
            }
            Operation::Compact { index_choice } => self.compact(index_choice.into()),
            Operation::Install { index, new_count } => self.install(index.into(), new_count.into()),
            Operation::Kill => self.restart(false),
            Operation::LosePower => self.restart(true),
        }
        self.disk.clear_faults();
        if self.disk.has_lost_power() {
            self.restart(true);
        }
    }

    fn save_record(&mut self) {
        let record = format!("record {}", self.step_number).into_bytes();
        match self.storage.save_record(&record) {
            Ok(()) => self.possible_records = vec![Some(record)],
            Err(error) => {
                assert_io_error(&error);
                self.possible_records.push(Some(record));
            }
        }
    }

    fn append(&mut self, before_end: u64, stored_count: u64, new_count: u64) {
        let first = self.state.last_index().saturating_sub(before_end).max(self.state.snapshot_index()) + 1;
        let stored = self.state.entries.iter().filter(|entry| entry.index >= first);
        let mut entries: Vec<Entry> = stored.take(stored_count as usize).cloned().collect();
        let first_new = first + entries.len() as u64;
        entries.extend(common::entries(
            self.step_number,
            first_new,
            first_new + new_count - 1 + u64::from(new_count == 0),
        ));
        if new_count == 0 {
            entries.pop();
        }
        let result = self.storage.append(&entries);
        if entries.is_empty() {
            return result.expect("nothing to do");
        }
        let after = self.state.appended(&entries);
        let last_kept = first_new - 1;
        let mut outcomes: Vec<State> = (last_kept..=self.state.last_index())
            .map(|last_index| self.state.truncated(last_index))
            .collect();
        outcomes.extend((last_kept..=after.last_index()).map(|last_index| after.truncated(last_index)));
        self.check_outcome(result, after, outcomes);
    }

    fn compact(&mut self, index_choice: u64) {
        let index = self.state.snapshot_index() + index_choice % (self.state.entries.len() as u64 + 2);
        let epoch = self.state.entries.iter().find(|entry| entry.index == index).map(|entry| entry.epoch);
        let last = position(epoch.unwrap_or(self.step_number), index);
        let snapshot = format!("snapshot {}", self.step_number).into_bytes();
        let result = self.storage.compact(last, &snapshot);
        if index <= self.state.snapshot_index() {
            return result.expect("the snapshot is ignored");
        }
        let after = self.state.compacted(last, &snapshot);
        self.check_outcome(result, after.clone(), vec![after]);
    }

    fn install(&mut self, index: u64, new_count: u64) {
        let (last, snapshot) =
            (position(self.step_number, index), format!("installed {}", self.step_number).into_bytes());
        let entries = common::entries(self.step_number, index + 1, index + new_count);
        let result = self.storage.install(last, &snapshot, &entries);
        let after = State { snapshot: Some((last, snapshot)), entries };
        self.check_outcome(result, after.clone(), vec![after]);
    }

    fn check_outcome(&mut self, result: Result<(), StorageError>, after: State, outcomes: Vec<State>) {
        match result {
            Ok(()) => {
                self.possible_states = vec![after.clone()];
                self.state = after;
            }
            Err(error) => {
                assert_io_error(&error);
                self.possible_states.extend(outcomes);
                self.state = self.state.truncated(self.storage.last_index());
            }
        }
        assert_eq!(self.storage.last_index(), self.state.last_index());
        let position = self.state.snapshot.as_ref().map(|(last, _)| *last);
        assert_eq!(self.storage.snapshot_position(), position);
    }

    /// Opens the storage as a new process does, and repeats that until no fault interrupts it.
    fn restart(&mut self, loses_power: bool) {
        let mut loses_power = loses_power || self.disk.has_lost_power();
        loop {
            if loses_power {
                self.disk.lose_power();
            }
            let faults = [
                None,
                Some(Fault::PowerLoss),
                Some(Fault::OneCallFails),
                Some(Fault::AllWritesFail),
                Some(Fault::GrowthFails),
            ];
            let fault = faults[self.random.below(faults.len())];
            let operations_before = self.random.below(8);
            if let Some(fault) = fault {
                self.disk.schedule(fault, operations_before);
            }
            let opened = try_open(&self.disk);
            self.disk.clear_faults();
            loses_power = self.disk.has_lost_power();
            match opened {
                Ok((storage, found)) if !loses_power => return self.resume(storage, found),
                Ok((_, found)) => self.assert_possible(&found),
                Err(error) => assert_io_error(&error),
            }
        }
    }

    fn resume(&mut self, storage: Storage<Disk>, found: Recovered) {
        self.assert_possible(&found);
        self.storage = storage;
        self.possible_records = vec![found.record];
        self.state = State { snapshot: found.snapshot, entries: found.entries };
        self.possible_states = vec![self.state.clone()];
    }

    fn assert_possible(&self, found: &Recovered) {
        let state = State { snapshot: found.snapshot.clone(), entries: found.entries.clone() };
        let possible: Vec<String> = self.possible_states.iter().map(State::summary).collect();
        assert!(self.possible_states.contains(&state), "{} is none of {possible:?}", state.summary());
        assert!(self.possible_records.contains(&found.record), "{:?}", found.record);
    }
}

/// Checks that the error is due to a fault of the disk, and not to the data that was found.
fn assert_io_error(error: &StorageError) {
    assert!(matches!(error, StorageError::Io { .. }), "{error}");
}

fn run_scenario(scenario: Scenario) -> bool {
    let mut checked = CheckedStorage::new(scenario.seed);
    scenario.steps.iter().for_each(|step| checked.run_step(step));
    checked.restart(true);
    checked.run_step(&Step {
        operation: Operation::Append { before_end: 0, stored_count: 0, new_count: 2 },
        fault: None,
    });
    checked.restart(true);
    true
}

#[test]
fn stored_data_survives_faults() {
    QuickCheck::new().tests(3000).quickcheck(run_scenario as fn(Scenario) -> bool);
}

#[test]
fn every_crash_in_one_operation_keeps_the_state_before_or_after() {
    let operations = [
        Operation::SaveRecord,
        Operation::Append { before_end: 0, stored_count: 0, new_count: 3 },
        Operation::Append { before_end: 5, stored_count: 1, new_count: 2 },
        Operation::Append { before_end: 5, stored_count: 2, new_count: 0 },
        Operation::Compact { index_choice: 7 },
        Operation::Install { index: 4, new_count: 3 },
        Operation::Install { index: 30, new_count: 0 },
    ];
    let faults = [Fault::PowerLoss, Fault::OneCallFails, Fault::AllWritesFail, Fault::GrowthFails];
    for seed in 0..20 {
        for operation in &operations {
            for (fault, operations_before) in faults
                .iter()
                .flat_map(|fault| (0..10).map(move |operations_before| (*fault, operations_before)))
            {
                let without_fault = |operation| Step { operation, fault: None };
                let append =
                    || without_fault(Operation::Append { before_end: 0, stored_count: 0, new_count: 1 });
                let mut steps =
                    vec![without_fault(Operation::SaveRecord), without_fault(Operation::SaveRecord)];
                steps.extend((0..10).map(|_| append()));
                steps.push(Step { operation: operation.clone(), fault: Some((fault, operations_before)) });
                steps.push(append());
                run_scenario(Scenario { seed, steps });
            }
        }
    }
}

// An installation fails after its snapshot was renamed. If the repair before the next call removed its files
// in the wrong order and failed halfway, recovery could find the generation without its segment.
//
//    install 23, 24-27     | segment created, snapshot renamed, sync of the folder fails
//    append 28             | repair removes one of the two files, then the disk fails
//    kill or loss of power | recovery finds nothing of the installation
#[test]
fn a_failed_installation_is_not_recovered_in_part() {
    for (seed, operations_before) in
        (0..50).flat_map(|seed| (0..8).map(move |operations_before| (seed, operations_before)))
    {
        let install = Operation::Install { index: 23, new_count: 4 };
        let append = Operation::Append { before_end: 1, stored_count: 5, new_count: 1 };
        let steps = vec![
            Step { operation: install, fault: Some((Fault::OneCallFails, 9)) },
            Step { operation: append, fault: Some((Fault::OneCallFails, operations_before)) },
            Step {
                operation: if seed % 2 == 0 { Operation::Kill } else { Operation::LosePower },
                fault: None,
            },
        ];
        run_scenario(Scenario { seed, steps });
    }
}

quickcheck! {
    fn a_failed_call_may_be_retried(seed: u64, one_call_fails: bool, operations_before: usize) -> bool {
        let disk = Disk::new(seed);
        let (mut storage, _) = open(&disk);
        storage.append(&entries(1, 1, 9)).expect("appended");
        let mut retried = |call: &mut dyn FnMut(&mut Storage<Disk>) -> Result<(), StorageError>| {
            disk.schedule(
                if one_call_fails { Fault::OneCallFails } else { Fault::AllWritesFail },
                operations_before % 10,
            );
            if call(&mut storage).is_err() {
                disk.clear_faults();
                call(&mut storage).expect("the retry succeeds");
            }
            disk.clear_faults();
        };
        retried(&mut |storage| storage.append(&entries(2, 5, 12)));
        retried(&mut |storage| storage.compact(position(2, 11), b"eleven"));
        retried(&mut |storage| storage.save_record(b"record"));
        retried(&mut |storage| storage.install(position(3, 7), b"seven", &entries(3, 8, 9)));
        disk.lose_power();
        let (_, found) = open(&disk);
        found == Recovered {
            record: Some(b"record".to_vec()),
            snapshot: Some((position(3, 7), b"seven".to_vec())),
            entries: entries(3, 8, 9),
        }
    }
}

// A second installation follows one that failed, and may fail, too. Recovery must not mix the files of both.
//
//    install 4, 5-7        | a fault occurs at any disk operation
//    install 30            | a fault occurs at any disk operation
//    kill or loss of power | recovery finds the state before both, after the first, or after the second
#[test]
fn an_installation_after_a_failed_one_is_atomic() {
    let faults = [Fault::PowerLoss, Fault::OneCallFails, Fault::AllWritesFail, Fault::GrowthFails];
    for (first, second) in faults.iter().flat_map(|first| faults.map(|second| (*first, second))) {
        for (operations_before, second_operations_before) in (0..10).flat_map(|operations_before| {
            (0..10).map(move |second_operations_before| (operations_before, second_operations_before))
        }) {
            let without_fault = |operation| Step { operation, fault: None };
            let append = || without_fault(Operation::Append { before_end: 0, stored_count: 0, new_count: 2 });
            let seed = (operations_before * 10 + second_operations_before) as u64;
            let last = if seed.is_multiple_of(2) { Operation::Kill } else { Operation::LosePower };
            run_scenario(Scenario {
                seed,
                steps: vec![
                    append(),
                    Step {
                        operation: Operation::Install { index: 4, new_count: 3 },
                        fault: Some((first, operations_before)),
                    },
                    Step {
                        operation: Operation::Install { index: 30, new_count: 0 },
                        fault: Some((second, second_operations_before)),
                    },
                    without_fault(last),
                    append(),
                    Step {
                        operation: Operation::Compact { index_choice: 1 },
                        fault: Some((first, second_operations_before)),
                    },
                ],
            });
        }
    }
}
