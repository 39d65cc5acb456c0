//! The Responder's side of a FastCGI connection: records in, whole requests out.

use std::collections::BTreeMap;

use super::fastcgi::{self, kind, Status};
use super::Malformed;

/// Requests that may be open on one connection.
pub const OPEN: usize = 32;
/// Most bytes of parameters that a request may have.
pub const PARAMS: usize = 16 * 1024;
/// Most bytes of a request's body.
pub const BODY: usize = 2 * 1024;

const RESPONDER: u16 = 1;
const KEEP_CONN: u8 = 1;

/// What the records of a connection add up to.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A whole request.
    Request {
        /// Its number on this connection, free for another once it is answered.
        slot: u16,
        /// Its parameters, not yet taken apart.
        params: Vec<u8>,
        /// Its body.
        body: Vec<u8>,
        /// Parameters or body are longer than allowed. They were thrown away, and what of the request is
        /// still to come is read past: its answer need not wait for that.
        too_long: bool,
    },
    /// The balancer gives an open request up.
    Abort(u16),
}

#[derive(Default)]
struct Slot {
    params: Vec<u8>,
    body: Vec<u8>,
    too_long: bool,
    params_done: bool,
    whole: bool,
    keep: bool,
}

impl Slot {
    fn add(&mut self, kind: u8, bytes: &[u8]) {
        let (to, most) = match kind {
            kind::PARAMS => (&mut self.params, PARAMS),
            _ => (&mut self.body, BODY),
        };
        if to.len() + bytes.len() > most {
            // Lengths are checked before memory is taken.
            self.too_long = true;
        }
        if !self.too_long {
            to.extend_from_slice(bytes);
        }
    }
}

/// The requests under way on one connection, and the bytes to be written on it.
#[derive(Default)]
pub struct Responder {
    connections: usize,
    slots: BTreeMap<u16, Slot>,
    /// What is to be written to the peer.
    pub out: Vec<u8>,
    last: bool,
}

impl Responder {
    /// For one of so many connections.
    pub fn new(connections: usize) -> Responder {
        Responder { connections, ..Responder::default() }
    }

    /// Takes the first record off `bytes`: how many bytes it took (0: it is not yet whole) and what came
    /// of it.
    pub fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Incoming>), Malformed> {
        let Some(record) = fastcgi::record(bytes)? else { return Ok((0, None)) };
        let content = &bytes[record.content.clone()];
        let news = match (record.kind, record.request) {
            (kind::GET_VALUES, 0) => self.values(content).map(|()| None)?,
            (unknown, 0) => {
                fastcgi::write(&mut self.out, kind::UNKNOWN_TYPE, 0, &[unknown, 0, 0, 0, 0, 0, 0, 0]);
                None
            }
            (kind::BEGIN_REQUEST, slot) => self.begin(slot, content).map(|()| None)?,
            (kind::ABORT_REQUEST, slot) => self.abort(slot),
            (kind @ (kind::PARAMS | kind::STDIN), slot) => self.stream(kind, slot, content),
            // Kinds that no Responder needs, or of requests that are over.
            _ => None,
        };
        Ok((record.size, news))
    }

    /// Requests that are begun and not answered.
    pub fn open(&self) -> usize {
        self.slots.len()
    }

    /// Bytes that requests still on their way in take.
    pub fn held(&self) -> usize {
        self.slots.values().map(|s| s.params.len() + s.body.len()).sum()
    }

    /// Requests that have come whole and are not answered.
    pub fn whole(&self) -> usize {
        self.slots.values().filter(|slot| slot.whole).count()
    }

    /// Whether the peer asked for the connection to be closed after an answer that has been given.
    pub fn is_last(&self) -> bool {
        self.last
    }

    /// Forgets requests of which the end will never come.
    pub fn drop_partial(&mut self) {
        self.slots.retain(|_, slot| slot.whole);
    }

    /// Answers a request.
    pub fn answer(&mut self, slot: u16, content: &[u8]) {
        if self.end(slot) {
            fastcgi::write(&mut self.out, kind::STDOUT, slot, content);
            fastcgi::write(&mut self.out, kind::STDOUT, slot, &[]);
            fastcgi::write_end(&mut self.out, slot, 0, Status::Complete);
        }
    }

    /// Turns a request away by protocol status.
    pub fn turn_away(&mut self, slot: u16, status: Status) {
        self.end(slot);
        fastcgi::write_end(&mut self.out, slot, 0, status);
    }

    fn end(&mut self, slot: u16) -> bool {
        let ended = self.slots.remove(&slot);
        self.last |= ended.as_ref().is_some_and(|s| !s.keep);
        ended.is_some()
    }

    fn begin(&mut self, slot: u16, content: &[u8]) -> Result<(), Malformed> {
        let [role_high, role_low, flags, ..] = *content else {
            return Err(Malformed("the start of a request is too short"));
        };
        if self.slots.contains_key(&slot) {
            return Err(Malformed("a request begins twice"));
        }
        if u16::from_be_bytes([role_high, role_low]) != RESPONDER {
            self.turn_away(slot, Status::UnknownRole);
        } else if self.slots.len() >= OPEN {
            self.turn_away(slot, Status::Overloaded);
        } else {
            self.slots.insert(slot, Slot { keep: flags & KEEP_CONN != 0, ..Slot::default() });
        }
        Ok(())
    }

    /// Ends a request that the balancer has given up, without a word of an answer.
    pub fn end_aborted(&mut self, slot: u16) {
        if self.end(slot) {
            fastcgi::write_end(&mut self.out, slot, 1, Status::Complete);
        }
    }

    /// One that has not come whole ends here; of the others somebody else knows, and has to let go first.
    fn abort(&mut self, slot: u16) -> Option<Incoming> {
        if self.slots.get(&slot)?.whole {
            return Some(Incoming::Abort(slot));
        }
        self.end_aborted(slot);
        None
    }

    fn stream(&mut self, kind: u8, slot: u16, content: &[u8]) -> Option<Incoming> {
        let open = self.slots.get_mut(&slot).filter(|s| !s.whole)?;
        if kind == kind::PARAMS && content.is_empty() {
            open.params_done = true;
        } else if kind == kind::STDIN && content.is_empty() {
            // A request without any parameters has no stream of them that could end.
            open.whole = true;
            let (params, body) = (std::mem::take(&mut open.params), std::mem::take(&mut open.body));
            return Some(Incoming::Request { slot, params, body, too_long: open.too_long });
        } else if kind == kind::STDIN || !open.params_done {
            open.add(kind, content);
            if open.too_long {
                // With more behind it than anybody may send, the connection is of no more use after this.
                (open.whole, open.keep) = (true, false);
                (open.params, open.body) = Default::default();
                let (params, body) = Default::default();
                return Some(Incoming::Request { slot, params, body, too_long: true });
            }
        }
        None
    }

    fn values(&mut self, content: &[u8]) -> Result<(), Malformed> {
        let mut answer = Vec::new();
        for (name, _) in fastcgi::pairs(content)? {
            let value = match name {
                b"FCGI_MAX_CONNS" => self.connections.to_string(),
                b"FCGI_MAX_REQS" => (self.connections * OPEN).to_string(),
                b"FCGI_MPXS_CONNS" => "1".to_owned(),
                _ => continue,
            };
            fastcgi::write_pair(&mut answer, name, value.as_bytes());
        }
        fastcgi::write(&mut self.out, kind::GET_VALUES_RESULT, 0, &answer);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
