//! Whether what clients saw of registers is linearizable.
//!
//! Each write that is done has a version, in the order in which the register took them on, so that no order has to be
//! searched for: it is enough that versions and real time never disagree. Writes whose end nobody saw may have happened at
//! any time after they began, or never.

use std::collections::BTreeMap;

/// What a client asked for and what it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// The register.
    pub register: String,
    /// It wrote this value; `None`: it read.
    pub written: Option<u128>,
    /// When it began, and when it ended, if it did.
    pub started_at: u64,
    pub ended_at: Option<u64>,
    /// The version and the value that it was told; `None` for one that was refused or never ended.
    pub result: Option<(u64, u128)>,
    /// It was refused: it certainly changed nothing, where it was a write that was refused by its version.
    pub rejected: bool,
}

impl Operation {
    pub fn write(name: &str, began: u64, value: u128) -> Operation {
        Operation { written: Some(value), ..Operation::read(name, began) }
    }

    pub fn read(name: &str, began: u64) -> Operation {
        Operation {
            register: name.to_owned(),
            written: None,
            started_at: began,
            ended_at: None,
            result: None,
            rejected: false,
        }
    }

    pub fn complete(&mut self, at: u64, version: u64, value: u128) {
        (self.ended_at, self.result) = (Some(at), Some((version, value)));
    }

    pub fn reject(&mut self, at: u64) {
        (self.ended_at, self.rejected) = (Some(at), true);
    }
}

/// Every breach.
pub fn violations(operations: &[Operation]) -> Vec<String> {
    let mut found = Vec::new();
    let mut registers: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in operations {
        registers.entry(&operation.register).or_default().push(operation);
    }
    for (name, all) in registers {
        let began: BTreeMap<u128, u64> =
            all.iter().filter_map(|o| Some((o.written?, o.started_at))).collect();
        let mut values: BTreeMap<u64, u128> = BTreeMap::new();
        for operation in &all {
            let (Some((version, value)), Some(ended)) = (operation.result, operation.ended_at) else {
                continue;
            };
            if version == 0 {
                continue;
            }
            // One value a version, and one that somebody wrote, after it was asked for.
            let known = *values.entry(version).or_insert(value);
            if known != value {
                found.push(format!("{name}: version {version} was both {known} and {value}"));
            }
            match began.get(&value) {
                None => found.push(format!("{name}: {value} was read and never written")),
                Some(at) if *at > ended => {
                    found.push(format!("{name}: {value} was read before it was written"));
                }
                Some(_) => {}
            }
        }
        // In the order of their ends: what began after an end sees that version or a later one.
        let mut done: Vec<&Operation> = all.iter().copied().filter(|o| o.result.is_some()).collect();
        done.sort_by_key(|o| o.started_at);
        let mut ends: Vec<&Operation> = done.clone();
        ends.sort_by_key(|o| o.ended_at);
        let (mut next, mut highest) = (0, (0, false));
        for operation in done {
            while next < ends.len() && ends[next].ended_at < Some(operation.started_at) {
                let version = ends[next].result.map_or(0, |(version, _)| version);
                highest = highest.max((version, false));
                next += 1;
            }
            let version = operation.result.map_or(0, |(version, _)| version);
            let old =
                version < highest.0 || (operation.written.is_some() && version == highest.0 && version > 0);
            if old {
                let (what, at) =
                    (if operation.written.is_some() { "write" } else { "read" }, operation.started_at);
                found.push(format!(
                    "{name}: a {what} begun at {at} had version {version} after {}",
                    highest.0
                ));
            }
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_disagrees_with_real_time_is_a_breach() {
        let write = |began, ended, version, value| {
            let mut one = Operation::write("x", began, value);
            one.complete(ended, version, value);
            one
        };
        let read = |began, ended, version, value| {
            let mut one = Operation::read("x", began);
            one.complete(ended, version, value);
            one
        };
        let lost = Operation::write("x", 30, 9);
        let cases = [
            (vec![write(0, 10, 1, 7), read(11, 12, 1, 7), write(13, 20, 2, 8), read(15, 16, 1, 7)], 0),
            // A read after the end of a write sees an older version.
            (vec![write(0, 10, 1, 7), write(13, 20, 2, 8), read(21, 22, 1, 7)], 1),
            // Reads go back.
            (vec![write(0, 10, 1, 7), write(12, 30, 2, 8), read(13, 14, 2, 8), read(15, 16, 1, 7)], 1),
            // Two values of one version, and one that nobody wrote.
            (vec![write(0, 10, 1, 7), write(0, 10, 1, 8)], 1),
            (vec![write(0, 10, 1, 7), read(11, 12, 2, 5)], 1),
            // One whose end nobody saw may be read, but not before it began.
            (vec![write(0, 10, 1, 7), lost.clone(), read(31, 40, 2, 9)], 0),
            (vec![write(0, 10, 1, 7), lost, read(11, 20, 2, 9)], 1),
            // A second write of the version that was told already: two values of it, and no later one.
            (vec![write(0, 10, 3, 7), write(11, 12, 3, 8)], 2),
        ];
        for (operations, wanted) in cases {
            assert_eq!(
                violations(&operations).len(),
                wanted,
                "{operations:#?} {:?}",
                violations(&operations)
            );
        }
    }
}
