//! When a dependency is not called for a while.

use std::collections::VecDeque;

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::Breaker as Settings;
use crate::probe_pacing;

/// Probes in a row that must go well before it closes.
const WELL: u32 = 3;
/// Each time that a probe fails it stays open twice as long, up to so many times as long as at first: after
/// a long outage service is to be back within seconds.
const LONGEST: u32 = 4;
/// Fewer calls than this tell nothing, or all that are looked back on where that is fewer.
const ENOUGH: usize = 5;

/// Whether calls may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// They may.
    Closed,
    /// Not before this time.
    Open(Micros),
    /// One at a time, to see; so many have gone well.
    Probing(u32),
}

/// Looks back on the last calls. It is for dependencies that are down: what turns calls away is told by the limit.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: Option<Settings>,
    state: State,
    /// Whether each of the last calls failed.
    last: VecDeque<bool>,
    failed: usize,
    /// How often it has opened without closing in between.
    opened: u32,
    probes: usize,
}

impl Breaker {
    /// Closed; without settings it stays so.
    pub fn new(settings: Option<Settings>) -> Breaker {
        Breaker { settings, state: State::Closed, last: VecDeque::new(), failed: 0, opened: 0, probes: 0 }
    }

    /// New settings.
    pub fn set(&mut self, settings: Option<Settings>) {
        self.settings = settings;
        match settings {
            Some(settings) => self.trim(settings),
            None => (self.state, self.opened) = (State::Closed, 0),
        }
    }

    /// Where it stands now.
    pub fn state(&self, now: Micros) -> State {
        match self.state {
            State::Open(until) if now >= until => State::Probing(0),
            state => state,
        }
    }

    /// Whether a call may start now.
    pub fn allows(&self, now: Micros) -> bool {
        match self.state(now) {
            State::Closed => true,
            State::Open(_) => false,
            State::Probing(_) => self.probes == 0,
        }
    }

    /// A call starts that was allowed; whether it is a probe, to be told again at its end.
    pub fn start(&mut self, now: Micros) -> bool {
        self.state = self.state(now);
        let probe = matches!(self.state, State::Probing(_));
        self.probes += usize::from(probe);
        probe
    }

    /// A call is over. `failed` is `None` where it says nothing, as when nobody waited for it any more.
    pub fn end(
        &mut self,
        now: Micros,
        probe: bool,
        failed: Option<bool>,
        (servers, random): (u32, &mut impl Rng),
    ) {
        self.probes -= usize::from(probe);
        let Some(failed) = failed else { return };
        match self.state(now) {
            State::Closed => self.note(now, failed, (servers, random)),
            // Calls from before it opened say nothing about now.
            State::Probing(well) if probe && !failed => {
                self.state = if well + 1 >= WELL { State::Closed } else { State::Probing(well + 1) };
                if self.state == State::Closed {
                    self.opened = 0;
                    self.forget();
                }
            }
            State::Probing(_) if probe => self.open(now, (servers, random)),
            State::Probing(_) | State::Open(_) => {}
        }
    }

    fn note(&mut self, now: Micros, failed: bool, among: (u32, &mut impl Rng)) {
        let Some(settings) = self.settings else { return };
        self.last.push_back(failed);
        self.failed += usize::from(failed);
        self.trim(settings);
        let enough = ENOUGH.min(settings.calls as usize);
        if self.last.len() >= enough && self.failed as f64 >= settings.share * self.last.len() as f64 {
            self.open(now, among);
        }
    }

    /// Servers that saw it fail at one moment must not all look again at one moment.
    fn open(&mut self, now: Micros, (servers, random): (u32, &mut impl Rng)) {
        let Some(settings) = self.settings else { return };
        let span = settings.open * Micros::from((1 << self.opened.min(16)).min(LONGEST));
        self.opened += 1;
        self.state = State::Open(now + probe_pacing::spread(servers, span, random));
        self.forget();
    }

    fn forget(&mut self) {
        self.last.clear();
        self.failed = 0;
    }

    fn trim(&mut self, settings: Settings) {
        while self.last.len() > settings.calls as usize {
            self.failed -= usize::from(self.last.pop_front().unwrap_or(false));
        }
    }
}

#[cfg(test)]
mod tests;
