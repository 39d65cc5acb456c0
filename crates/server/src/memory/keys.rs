//! Kept keys and results: what lets a repeat be answered without running again.

use std::collections::{BTreeMap, VecDeque};

use umberloom::interface::{Micros, RequestId};

/// Most entries, and most bytes of results, that are kept.
const ENTRIES: usize = 4096;
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
    /// Keeps a request until the stated time; a newer one takes over the entry of an older one.
    pub fn keep(&mut self, subject: Subject, id: RequestId, until: Micros) {
        if let Some(entry) = self.all.get_mut(&subject).filter(|e| e.id == id) {
            entry.until = until;
            return;
        }
        self.remove(&subject);
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
        while self.bytes > BYTES {
            let Some(oldest) = self.order.front().cloned() else { break };
            self.remove(&oldest);
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
        keys.keep(about("k"), "a".into(), 100);
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
        keys.keep(about("k"), "a".into(), 100);
        keys.keep(about("k"), "b".into(), 50);
        keys.forget(&about("k"), "a");
        assert_eq!(keys.find(&about("k"), 0).as_deref(), Some("b"));
        keys.keep(about("k"), "b".into(), 200);
        assert_eq!(keys.find(&about("k"), 150).as_deref(), Some("b"));
        keys.forget(&about("k"), "b");
        assert_eq!(keys.find(&about("k"), 0), None);
    }

    #[test]
    fn entries_and_results_are_bounded() {
        let mut keys = Keys::default();
        for n in 0..ENTRIES + 10 {
            keys.keep(about(&n.to_string()), n.to_string().into(), 100);
            keys.add_result(&about(&n.to_string()), &n.to_string(), &[0; 4096]);
        }
        assert!(keys.all.len() <= ENTRIES && keys.bytes <= BYTES);
        assert_eq!(keys.find(&about("0"), 0), None);
        assert!(keys.find(&about(&(ENTRIES + 9).to_string()), 0).is_some());
    }
}
