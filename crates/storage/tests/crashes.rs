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
    /// Appends entries, of which the first is `back` entries before the end of the log: up to `known` entries
    /// that are stored, then `new` entries that are not.
    Append {
        back: u8,
        known: u8,
        new: u8,
    },
    /// Compacts the log at an index that `place` chooses, from the snapshot to the first index after the log.
    Compact {
        place: u8,
    },
    /// Installs a snapshot at `index`, before or after the end of the log, followed by `new` entries.
    Install {
        index: u8,
        new: u8,
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
struct Day {
    seed: u64,
    steps: Vec<Step>,
}

impl Arbitrary for Step {
    fn arbitrary(gen: &mut Gen) -> Self {
        let small = |gen: &mut Gen| u8::arbitrary(gen) % 6;
        let operation = match u8::arbitrary(gen) % 16 {
            0 | 1 => Operation::SaveRecord,
            2..=9 => Operation::Append { back: small(gen), known: small(gen), new: small(gen) },
            10 | 11 => Operation::Compact { place: u8::arbitrary(gen) },
            12 | 13 => Operation::Install { index: u8::arbitrary(gen) % 40, new: small(gen) },
            14 => Operation::Kill,
            _ => Operation::LosePower,
        };
        let faults = [Fault::PowerOut, Fault::Error, Fault::Full, Fault::NoSpace];
        let fault = *gen.choose(&faults).expect("faults");
        let step = usize::arbitrary(gen) % 10;
        Step { operation, fault: (u8::arbitrary(gen) % 3 == 0).then_some((fault, step)) }
    }
}

impl Arbitrary for Day {
    fn arbitrary(gen: &mut Gen) -> Self {
        Day { seed: u64::arbitrary(gen), steps: Vec::arbitrary(gen) }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        Box::new(self.steps.shrink().map(move |steps| Day { seed, steps }))
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

    fn base(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |(last, _)| last.index)
    }

    fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    /// Returns the state with the log truncated after the index `last`.
    fn cut(&self, last: u64) -> State {
        let kept = last.saturating_sub(self.base()) as usize;
        State {
            snapshot: self.snapshot.clone(),
            entries: self.entries[..kept.min(self.entries.len())].to_vec(),
        }
    }

    fn appended(&self, entries: &[Entry]) -> State {
        let Some(first) = entries.first() else { return self.clone() };
        let mut state = self.cut(first.index - 1);
        state.entries.extend_from_slice(entries);
        state
    }

    fn compacted(&self, last: Position, snapshot: &[u8]) -> State {
        let entries = self.entries.iter().filter(|entry| entry.index > last.index).cloned().collect();
        State { snapshot: Some((last, snapshot.to_vec())), entries }
    }
}

/// A storage, with a model of its contents and of the results that recovery may have.
struct Machine {
    disk: Disk,
    storage: Storage<Disk>,
    /// The state after all successful calls.
    state: State,
    /// The states that recovery may find: `state`, and the outcomes of calls that failed since the last
    /// successful one.
    possible: Vec<State>,
    /// The records that recovery may find.
    possible_records: Vec<Option<Vec<u8>>>,
    /// The number of the current step. It makes the data of each step unique.
    counter: u64,
    random: Random,
}

impl Machine {
    fn new(seed: u64) -> Machine {
        let disk = Disk::new(seed);
        let (storage, found) = open(&disk);
        assert_eq!(found, Recovered::default());
        Machine {
            disk,
            storage,
            state: State::default(),
            possible: vec![State::default()],
            possible_records: vec![None],
            counter: 0,
            random: Random(seed),
        }
    }

    fn live_through(&mut self, step: &Step) {
        if let Some((fault, after)) = step.fault {
            self.disk.plan(fault, after);
        }
        self.counter += 1;
        match step.operation.clone() {
            Operation::SaveRecord => self.save_record(),
            Operation::Append { back, known, new } => self.append(back.into(), known.into(), new.into()),
            Operation::Compact { place } => self.compact(place.into()),
            Operation::Install { index, new } => self.install(index.into(), new.into()),
            Operation::Kill => self.restart(false),
            Operation::LosePower => self.restart(true),
        }
        self.disk.calm();
        if self.disk.is_out() {
            self.restart(true);
        }
    }

    fn save_record(&mut self) {
        let record = format!("record {}", self.counter).into_bytes();
        match self.storage.save_record(&record) {
            Ok(()) => self.possible_records = vec![Some(record)],
            Err(error) => {
                expect_failures(&error);
                self.possible_records.push(Some(record));
            }
        }
    }

    fn append(&mut self, back: u64, known: u64, new: u64) {
        let first = self.state.last().saturating_sub(back).max(self.state.base()) + 1;
        let stored = self.state.entries.iter().filter(|entry| entry.index >= first);
        let mut entries: Vec<Entry> = stored.take(known as usize).cloned().collect();
        let fresh = first + entries.len() as u64;
        entries.extend(common::entries(self.counter, fresh, fresh + new - 1 + u64::from(new == 0)));
        if new == 0 {
            entries.pop();
        }
        let result = self.storage.append(&entries);
        if entries.is_empty() {
            return result.expect("nothing to do");
        }
        let after = self.state.appended(&entries);
        let kept = fresh - 1;
        let mut outcomes: Vec<State> = (kept..=self.state.last()).map(|last| self.state.cut(last)).collect();
        outcomes.extend((kept..=after.last()).map(|last| after.cut(last)));
        self.took(result, after, outcomes);
    }

    fn compact(&mut self, place: u64) {
        let index = self.state.base() + place % (self.state.entries.len() as u64 + 2);
        let epoch = self.state.entries.iter().find(|entry| entry.index == index).map(|entry| entry.epoch);
        let last = at(epoch.unwrap_or(self.counter), index);
        let snapshot = format!("snapshot {}", self.counter).into_bytes();
        let result = self.storage.compact(last, &snapshot);
        if index <= self.state.base() {
            return result.expect("the snapshot is ignored");
        }
        let after = self.state.compacted(last, &snapshot);
        self.took(result, after.clone(), vec![after]);
    }

    fn install(&mut self, index: u64, new: u64) {
        let (last, snapshot) = (at(self.counter, index), format!("installed {}", self.counter).into_bytes());
        let entries = common::entries(self.counter, index + 1, index + new);
        let result = self.storage.install(last, &snapshot, &entries);
        let after = State { snapshot: Some((last, snapshot)), entries };
        self.took(result, after.clone(), vec![after]);
    }

    fn took(&mut self, result: Result<(), StorageError>, after: State, outcomes: Vec<State>) {
        match result {
            Ok(()) => {
                self.possible = vec![after.clone()];
                self.state = after;
            }
            Err(error) => {
                expect_failures(&error);
                self.possible.extend(outcomes);
                self.state = self.state.cut(self.storage.last_index());
            }
        }
        assert_eq!(self.storage.last_index(), self.state.last());
        let position = self.state.snapshot.as_ref().map(|(last, _)| *last);
        assert_eq!(self.storage.snapshot_position(), position);
    }

    /// Opens the storage as a new process does, and repeats that until no fault interrupts it.
    fn restart(&mut self, power: bool) {
        let mut power = power || self.disk.is_out();
        loop {
            if power {
                self.disk.lose_power();
            }
            let faults =
                [None, Some(Fault::PowerOut), Some(Fault::Error), Some(Fault::Full), Some(Fault::NoSpace)];
            let fault = faults[self.random.below(faults.len())];
            let after = self.random.below(8);
            if let Some(fault) = fault {
                self.disk.plan(fault, after);
            }
            let opened = try_open(&self.disk);
            self.disk.calm();
            power = self.disk.is_out();
            match opened {
                Ok((storage, found)) if !power => return self.go_on(storage, found),
                Ok((_, found)) => self.expect_possible(&found),
                Err(error) => expect_failures(&error),
            }
        }
    }

    fn go_on(&mut self, storage: Storage<Disk>, found: Recovered) {
        self.expect_possible(&found);
        self.storage = storage;
        self.possible_records = vec![found.record];
        self.state = State { snapshot: found.snapshot, entries: found.entries };
        self.possible = vec![self.state.clone()];
    }

    fn expect_possible(&self, found: &Recovered) {
        let state = State { snapshot: found.snapshot.clone(), entries: found.entries.clone() };
        let possible: Vec<String> = self.possible.iter().map(State::summary).collect();
        assert!(self.possible.contains(&state), "{} is none of {possible:?}", state.summary());
        assert!(self.possible_records.contains(&found.record), "{:?}", found.record);
    }
}

/// Checks that the error is due to a fault of the disk, and not to the data that was found.
fn expect_failures(error: &StorageError) {
    assert!(matches!(error, StorageError::Io { .. }), "{error}");
}

fn survives(day: Day) -> bool {
    let mut machine = Machine::new(day.seed);
    day.steps.iter().for_each(|step| machine.live_through(step));
    machine.restart(true);
    machine.live_through(&Step { operation: Operation::Append { back: 0, known: 0, new: 2 }, fault: None });
    machine.restart(true);
    true
}

#[test]
fn what_was_stored_survives() {
    QuickCheck::new().tests(3000).quickcheck(survives as fn(Day) -> bool);
}

#[test]
fn every_crash_in_one_operation_keeps_the_state_before_or_after() {
    let operations = [
        Operation::SaveRecord,
        Operation::Append { back: 0, known: 0, new: 3 },
        Operation::Append { back: 5, known: 1, new: 2 },
        Operation::Append { back: 5, known: 2, new: 0 },
        Operation::Compact { place: 7 },
        Operation::Install { index: 4, new: 3 },
        Operation::Install { index: 30, new: 0 },
    ];
    let faults = [Fault::PowerOut, Fault::Error, Fault::Full, Fault::NoSpace];
    for seed in 0..20 {
        for operation in &operations {
            for (fault, after) in faults.iter().flat_map(|fault| (0..10).map(move |after| (*fault, after))) {
                let calm = |operation| Step { operation, fault: None };
                let append = || calm(Operation::Append { back: 0, known: 0, new: 1 });
                let mut steps = vec![calm(Operation::SaveRecord), calm(Operation::SaveRecord)];
                steps.extend((0..10).map(|_| append()));
                steps.push(Step { operation: operation.clone(), fault: Some((fault, after)) });
                steps.push(append());
                survives(Day { seed, steps });
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
fn a_part_of_a_failed_installation_does_not_count() {
    for (seed, after) in (0..50).flat_map(|seed| (0..8).map(move |after| (seed, after))) {
        let install = Operation::Install { index: 23, new: 4 };
        let append = Operation::Append { back: 1, known: 5, new: 1 };
        let steps = vec![
            Step { operation: install, fault: Some((Fault::Error, 9)) },
            Step { operation: append, fault: Some((Fault::Error, after)) },
            Step {
                operation: if seed % 2 == 0 { Operation::Kill } else { Operation::LosePower },
                fault: None,
            },
        ];
        survives(Day { seed, steps });
    }
}

quickcheck! {
    fn a_failed_call_may_be_retried(seed: u64, fault: bool, after: usize) -> bool {
        let disk = Disk::new(seed);
        let (mut storage, _) = open(&disk);
        storage.append(&entries(1, 1, 9)).expect("appended");
        let mut retried = |call: &mut dyn FnMut(&mut Storage<Disk>) -> Result<(), StorageError>| {
            disk.plan(if fault { Fault::Error } else { Fault::Full }, after % 10);
            if call(&mut storage).is_err() {
                disk.calm();
                call(&mut storage).expect("the retry succeeds");
            }
            disk.calm();
        };
        retried(&mut |storage| storage.append(&entries(2, 5, 12)));
        retried(&mut |storage| storage.compact(at(2, 11), b"eleven"));
        retried(&mut |storage| storage.save_record(b"record"));
        retried(&mut |storage| storage.install(at(3, 7), b"seven", &entries(3, 8, 9)));
        disk.lose_power();
        let (_, found) = open(&disk);
        found == Recovered {
            record: Some(b"record".to_vec()),
            snapshot: Some((at(3, 7), b"seven".to_vec())),
            entries: entries(3, 8, 9),
        }
    }
}

// A second installation follows one that failed, and may fail, too. Recovery must not mix the files of both.
//
//    install 4, 5-7        | a fault occurs at any disk operation
//    install 30            | a fault occurs at any disk operation
//    kill or loss of power | recovery finds exactly the state before both, after the first, or after the second
#[test]
fn an_installation_after_an_incomplete_one_is_complete_or_void() {
    let faults = [Fault::PowerOut, Fault::Error, Fault::Full, Fault::NoSpace];
    for (first, second) in faults.iter().flat_map(|first| faults.map(|second| (*first, second))) {
        for (after, then) in (0..10).flat_map(|after| (0..10).map(move |then| (after, then))) {
            let calm = |operation| Step { operation, fault: None };
            let append = || calm(Operation::Append { back: 0, known: 0, new: 2 });
            let seed = (after * 10 + then) as u64;
            let last = if seed.is_multiple_of(2) { Operation::Kill } else { Operation::LosePower };
            survives(Day {
                seed,
                steps: vec![
                    append(),
                    Step { operation: Operation::Install { index: 4, new: 3 }, fault: Some((first, after)) },
                    Step { operation: Operation::Install { index: 30, new: 0 }, fault: Some((second, then)) },
                    calm(last),
                    append(),
                    Step { operation: Operation::Compact { place: 1 }, fault: Some((first, then)) },
                ],
            });
        }
    }
}
