//! Kept keys and results: what lets a repeat be answered without running again.

use std::collections::{BTreeMap, VecDeque};

use umberloom::interface::{Micros, RequestId};

/// Most entries, and most bytes of results, that are kept. The decisions count each entry in memory and keep
/// fewer than this where the configuration holds (see `lifecycle::config`): a live entry of a keyed class that
/// went would let its repeat run again.
pub const ENTRIES: usize = 4096;
const BYTES: usize = 8 << 20;

/// What a request is about: the place of its class, and its key.
pub type Subject = (usize, String);

#[derive(Debug)]
struct Entry {
    id: RequestId,
    until: Micros,
    result: Option<Vec<u8>>,
}

/// The table of kept requests, by what they are about.
#[derive(Debug, Default)]
pub struct Keys {
    all: BTreeMap<Subject, Entry>,
    /// Subjects in the order in which they were kept.
    order: VecDeque<Subject>,
    bytes: usize,
}

impl Keys {
    /// Keeps a request until the stated time; a newer one takes over the entry of an older one. Where the table
    /// is full, what has run out goes first, then the oldest.
    pub fn keep(&mut self, now: Micros, subject: Subject, id: RequestId, until: Micros) {
        if let Some(entry) = self.all.get_mut(&subject).filter(|e| e.id == id) {
            entry.until = until;
            return;
        }
        self.remove(&subject);
        if self.all.len() >= ENTRIES {
            self.expire(now);
        }
        while self.all.len() >= ENTRIES {
            let Some(oldest) = self.order.front().cloned() else { break };
            self.remove(&oldest);
        }
        self.order.push_back(subject.clone());
        self.all.insert(subject, Entry { id, until, result: None });
    }

    /// Forgets the entry of this request.
    pub fn forget(&mut self, subject: &Subject, id: &str) {
        if self.all.get(subject).is_some_and(|e| &*e.id == id) {
            self.remove(subject);
        }
    }

    /// The kept request that a new one about the same thing repeats.
    pub fn find(&self, subject: &Subject, now: Micros) -> Option<RequestId> {
        self.all.get(subject).filter(|e| e.until > now).map(|e| e.id.clone())
    }

    /// The result of a kept request, once it is there.
    pub fn result(&self, id: &str) -> Option<&[u8]> {
        self.all.values().find(|e| &*e.id == id).and_then(|e| e.result.as_deref())
    }

    /// Adds the result of a kept request.
    pub fn add_result(&mut self, subject: &Subject, id: &str, result: &[u8]) {
        if let Some(entry) = self.all.get_mut(subject).filter(|e| &*e.id == id) {
            self.bytes -= entry.result.as_ref().map_or(0, Vec::len);
            self.bytes += result.len();
            entry.result = Some(result.to_vec());
        }
        // Too many bytes drop the oldest results, never their entries: a repeat that finds an entry without a
        // result fails without running, one that finds none would run again.
        for subject in &self.order {
            if self.bytes <= BYTES {
                break;
            }
            if let Some(dropped) = self.all.get_mut(subject).and_then(|e| e.result.take()) {
                self.bytes -= dropped.len();
            }
        }
    }

    /// Drops what has run out.
    pub fn expire(&mut self, now: Micros) {
        let gone: Vec<_> = self.all.iter().filter(|(_, e)| e.until <= now).map(|(s, _)| s.clone()).collect();
        gone.iter().for_each(|subject| self.remove(subject));
    }

    fn remove(&mut self, subject: &Subject) {
        if let Some(entry) = self.all.remove(subject) {
            self.bytes -= entry.result.map_or(0, |r| r.len());
            self.order.retain(|s| s != subject);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn about(key: &str) -> Subject {
        (0, key.to_owned())
    }

    #[test]
    fn a_kept_request_is_found_until_its_time_is_up() {
        let mut keys = Keys::default();
        keys.keep(0, about("k"), "a".into(), 100);
        assert_eq!(keys.find(&about("k"), 99).as_deref(), Some("a"));
        assert_eq!(keys.find(&about("k"), 100), None);
        assert_eq!(keys.find(&(1, "k".to_owned()), 0), None);
        keys.add_result(&about("k"), "a", b"result");
        assert_eq!(keys.result("a"), Some(&b"result"[..]));
        keys.expire(100);
        assert_eq!((keys.result("a"), keys.bytes, keys.order.len()), (None, 0, 0));
    }

    #[test]
    fn a_newer_request_takes_the_entry_over() {
        let mut keys = Keys::default();
        keys.keep(0, about("k"), "a".into(), 100);
        keys.keep(0, about("k"), "b".into(), 50);
        keys.forget(&about("k"), "a");
        assert_eq!(keys.find(&about("k"), 0).as_deref(), Some("b"));
        keys.keep(0, about("k"), "b".into(), 200);
        assert_eq!(keys.find(&about("k"), 150).as_deref(), Some("b"));
        keys.forget(&about("k"), "b");
        assert_eq!(keys.find(&about("k"), 0), None);
    }

    #[test]
    fn entries_and_results_are_bounded() {
        let mut keys = Keys::default();
        for n in 0..ENTRIES + 10 {
            keys.keep(0, about(&n.to_string()), n.to_string().into(), 100);
            keys.add_result(&about(&n.to_string()), &n.to_string(), &[0; 4096]);
        }
        assert!(keys.all.len() <= ENTRIES && keys.bytes <= BYTES);
        assert_eq!(keys.find(&about("0"), 0), None);
        assert!(keys.find(&about(&(ENTRIES + 9).to_string()), 0).is_some());
    }

    /// Guards against a keyed write that runs twice: results too large for the table took their entries with
    /// them, and a repeat then found nothing and ran anew.
    #[test]
    fn too_many_bytes_drop_results_but_keep_their_entries() {
        let mut keys = Keys::default();
        for n in 0..3 {
            keys.keep(0, about(&n.to_string()), n.to_string().into(), 100);
            keys.add_result(&about(&n.to_string()), &n.to_string(), &vec![0; BYTES / 2]);
        }
        assert!(keys.bytes <= BYTES, "{}", keys.bytes);
        assert_eq!(keys.result("0"), None, "the oldest result went");
        assert_eq!(keys.find(&about("0"), 0).as_deref(), Some("0"), "its entry stays");
        assert_eq!(keys.result("2").map(<[u8]>::len), Some(BYTES / 2));
    }

    /// Guards against a live entry pushed out while entries that have run out still take places.
    #[test]
    fn a_full_table_drops_what_ran_out_before_what_lives() {
        let mut keys = Keys::default();
        keys.keep(0, about("live"), "live".into(), 1_000);
        for n in 1..ENTRIES {
            keys.keep(0, about(&n.to_string()), n.to_string().into(), 10);
        }
        keys.keep(20, about("new"), "new".into(), 1_000);
        assert_eq!(keys.find(&about("live"), 20).as_deref(), Some("live"));
        assert_eq!(keys.find(&about("new"), 20).as_deref(), Some("new"));
        assert_eq!(keys.all.len(), 2);
    }
}
