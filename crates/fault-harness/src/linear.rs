//! Checks whether the results that clients saw of registers are linearizable.
//!
//! Each completed write has a version, which is its place in the order of the register's writes. So no order
//! has to be searched for: it is enough that versions and real time never contradict each other. A write that
//! never ended for its client may have taken effect at any time after it started, or never.

use std::collections::BTreeMap;

/// A client's operation on a register and its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// The name of the register.
    pub register: String,
    /// The value that a write writes; `None` for a read.
    pub written: Option<u128>,
    /// When the operation started, on the clock of the caller.
    pub started_at: u64,
    /// When it ended; `None` if it never did.
    pub ended_at: Option<u64>,
    /// The version and the value that the client received; `None` if the operation was rejected or never
    /// ended.
    pub result: Option<(u64, u128)>,
    /// Whether the operation was rejected. A write that was rejected for its version certainly changed
    /// nothing.
    pub rejected: bool,
}

impl Operation {
    /// A write that has not ended yet.
    pub fn write(register: &str, started_at: u64, value: u128) -> Operation {
        Operation { written: Some(value), ..Operation::read(register, started_at) }
    }

    /// A read that has not ended yet.
    pub fn read(register: &str, started_at: u64) -> Operation {
        Operation {
            register: register.to_owned(),
            written: None,
            started_at,
            ended_at: None,
            result: None,
            rejected: false,
        }
    }

    /// Records the end of the operation and its result.
    pub fn complete(&mut self, at: u64, version: u64, value: u128) {
        (self.ended_at, self.result) = (Some(at), Some((version, value)));
    }

    /// Records that the operation was rejected.
    pub fn reject(&mut self, at: u64) {
        (self.ended_at, self.rejected) = (Some(at), true);
    }
}

/// Returns a description of each violation.
pub fn violations(operations: &[Operation]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut registers: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in operations {
        registers.entry(&operation.register).or_default().push(operation);
    }
    for (name, all) in registers {
        let write_starts: BTreeMap<u128, u64> =
            all.iter().filter_map(|o| Some((o.written?, o.started_at))).collect();
        let mut values: BTreeMap<u64, u128> = BTreeMap::new();
        for operation in &all {
            let (Some((version, value)), Some(ended)) = (operation.result, operation.ended_at) else {
                continue;
            };
            if version == 0 {
                continue;
            }
            // A version has one value, and a write of that value started before the value was seen.
            let known = *values.entry(version).or_insert(value);
            if known != value {
                violations.push(format!("{name}: version {version} was both {known} and {value}"));
            }
            match write_starts.get(&value) {
                None => violations.push(format!("{name}: {value} was read and never written")),
                Some(at) if *at > ended => {
                    violations.push(format!("{name}: {value} was read before it was written"));
                }
                Some(_) => {}
            }
        }
        // An operation that starts after another one ended sees its version or a later one.
        let mut completed: Vec<&Operation> = all.iter().copied().filter(|o| o.result.is_some()).collect();
        completed.sort_by_key(|o| o.started_at);
        let mut by_end: Vec<&Operation> = completed.clone();
        by_end.sort_by_key(|o| o.ended_at);
        let (mut next, mut highest) = (0, (0, false));
        for operation in completed {
            while next < by_end.len() && by_end[next].ended_at < Some(operation.started_at) {
                let version = by_end[next].result.map_or(0, |(version, _)| version);
                highest = highest.max((version, false));
                next += 1;
            }
            let version = operation.result.map_or(0, |(version, _)| version);
            // A write never repeats a version that a completed operation had.
            let stale =
                version < highest.0 || (operation.written.is_some() && version == highest.0 && version > 0);
            if stale {
                let (kind, at) =
                    (if operation.written.is_some() { "write" } else { "read" }, operation.started_at);
                violations.push(format!(
                    "{name}: a {kind} started at {at} had version {version} after {}",
                    highest.0
                ));
            }
        }
    }
    violations
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn results_that_contradict_real_time_are_violations() {
        let write = |start, end, version, value| {
            let mut operation = Operation::write("x", start, value);
            operation.complete(end, version, value);
            operation
        };
        let read = |start, end, version, value| {
            let mut operation = Operation::read("x", start);
            operation.complete(end, version, value);
            operation
        };
        let unfinished = Operation::write("x", 30, 9);
        let cases = [
            (vec![write(0, 10, 1, 7), read(11, 12, 1, 7), write(13, 20, 2, 8), read(15, 16, 1, 7)], 0),
            // A read after the end of a write sees an older version.
            (vec![write(0, 10, 1, 7), write(13, 20, 2, 8), read(21, 22, 1, 7)], 1),
            // A later read sees an older version than an earlier read.
            (vec![write(0, 10, 1, 7), write(12, 30, 2, 8), read(13, 14, 2, 8), read(15, 16, 1, 7)], 1),
            // A version has two values; a value was never written.
            (vec![write(0, 10, 1, 7), write(0, 10, 1, 8)], 1),
            (vec![write(0, 10, 1, 7), read(11, 12, 2, 5)], 1),
            // The value of an unfinished write may be read, but not before the write started.
            (vec![write(0, 10, 1, 7), unfinished.clone(), read(31, 40, 2, 9)], 0),
            (vec![write(0, 10, 1, 7), unfinished, read(11, 20, 2, 9)], 1),
            // A write repeats the version of an earlier write: the version has two values, and it did not
            // grow.
            (vec![write(0, 10, 3, 7), write(11, 12, 3, 8)], 2),
        ];
        for (operations, expected) in cases {
            assert_eq!(
                violations(&operations).len(),
                expected,
                "{operations:#?} {:?}",
                violations(&operations)
            );
        }
    }
}
