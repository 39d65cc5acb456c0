//! `foca` with its timers, which this crate may stretch and move.
//!
//! What `foca` does not have and a server under partial failure needs: limits that grow while the server itself is
//! slow (Lifeguard), and timers that do not all fire at once when the process wakes from a standstill, as that would
//! turn each open suspicion into a failure that nobody could have refuted.

use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Member, Message, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use rand::rngs::ChaCha8Rng;
use rand::SeedableRng;

use crate::config::Config;
use crate::health::{HealthSignal, LocalHealth};
use crate::identity::{Identity, MemberName};
use crate::wire::MAX_GOSSIP_LEN;
use crate::Micros;

/// What comes out of one step of `foca`.
#[derive(Default)]
struct Out {
    send: Vec<(Identity, Vec<u8>)>,
    timers: Vec<(Timer<Identity>, Duration)>,
    signs: Vec<HealthSignal>,
    /// The latest incarnation that we sent under.
    incarnation: u16,
    /// Someone's state has changed.
    changed: bool,
    /// Two processes of one name were both held to be there: the earlier and the later.
    renamed: Vec<(Identity, Identity)>,
}

impl Runtime<Identity> for &mut Out {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::DataReceived(header) => {
                if matches!(header.message, Message::Ack(_) | Message::ForwardedAck { .. }) {
                    self.signs.push(HealthSignal::ProbeAnswered);
                }
            }
            Notification::DataSent(header) => {
                if header.src_incarnation > self.incarnation {
                    self.signs.push(HealthSignal::Suspected);
                }
                self.incarnation = header.src_incarnation;
            }
            Notification::ProbeFailed(..) => {
                self.signs.push(HealthSignal::ProbeFailed);
                self.changed = true;
            }
            Notification::Rename(before, after) => {
                self.changed = true;
                self.renamed.push((before.clone(), after.clone()));
            }
            _ => self.changed = true,
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// The protocol, its timers and this server's health.
pub struct Swim {
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    next: u64,
    incarnation: u16,
    pub health: LocalHealth,
    probe: Micros,
    suspect: Micros,
    setting: foca::Config,
}

/// What a step came to.
#[derive(Default)]
pub struct Came {
    /// Messages, and to whom.
    pub send: Vec<(MemberName, u64, Vec<u8>)>,
    /// Someone's state may have changed.
    pub changed: bool,
    /// A later process has taken the place of an earlier one.
    pub renamed: Vec<(Identity, Identity)>,
}

fn setting(config: &Config) -> foca::Config {
    let timing = config.timing;
    let often = |micros: Micros| Duration::from_micros(micros);
    let periodic = |frequency, members| {
        Some(foca::PeriodicParams {
            frequency,
            num_members: NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN),
        })
    };
    // Rounds that news takes to reach everyone grow with the logarithm of the fleet (SWIM, 4.1).
    let rounds = 4 + 3 * (config.roster_size() as f64).log2().ceil() as u8;
    foca::Config {
        probe_period: often(timing.probe_interval),
        // The other half is for those who are asked to try.
        probe_rtt: often(timing.probe_interval * 2 / 5),
        num_indirect_probes: NonZeroUsize::new(3).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(rounds).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: often(config.suspicion_timeout()),
        // A name is kept for a day after it failed; a new start under it takes its place at once.
        remove_down_after: Some(Duration::from_secs(86_400)),
        max_packet_size: NonZeroUsize::new(MAX_GOSSIP_LEN).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(Duration::from_secs(10), 1),
        periodic_announce_to_down_members: periodic(often(2 * timing.probe_interval), 2),
        periodic_gossip: periodic(often(timing.probe_interval * 2 / 5), 3),
    }
}

impl Swim {
    pub fn new(id: Identity, config: &Config, seed: u64) -> Swim {
        let setting = setting(config);
        let random = ChaCha8Rng::seed_from_u64(seed);
        Swim {
            foca: Foca::new(id, setting.clone(), random, PostcardCodec),
            timers: BTreeMap::new(),
            next: 0,
            incarnation: 0,
            health: LocalHealth::default(),
            probe: config.timing.probe_interval,
            suspect: config.suspicion_timeout(),
            setting,
        }
    }

    /// The roster has changed.
    pub fn set(&mut self, config: &Config) {
        self.suspect = config.suspicion_timeout();
        let new = setting(config);
        self.setting.max_transmissions = new.max_transmissions;
        self.set_suspect();
    }

    fn set_suspect(&mut self) {
        self.setting.suspect_to_down_after = Duration::from_micros(self.health.scale(self.suspect));
        // Only what may change while it runs is different.
        let _ = self.foca.set_config(self.setting.clone());
    }

    /// Our name and start.
    pub fn id(&self) -> &Identity {
        self.foca.identity()
    }

    /// Everyone that it has heard of.
    pub fn members(&self) -> impl Iterator<Item = &Member<Identity>> {
        self.foca.iter_membership_state()
    }

    fn step(&mut self, now: Micros, act: impl FnOnce(&mut Self, &mut Out)) -> Came {
        let mut out = Out { incarnation: self.incarnation, ..Out::default() };
        act(self, &mut out);
        self.incarnation = out.incarnation;
        let before = self.health;
        out.signs.iter().for_each(|sign| self.health.record(*sign));
        if self.health != before {
            self.set_suspect();
        }
        for (timer, after) in out.timers {
            let after = after.as_micros() as Micros;
            // Both of a probe's limits, so that their order stays.
            let stretched = matches!(timer, Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. });
            let after = if stretched { self.health.scale(after) } else { after };
            self.next += 1;
            self.timers.insert((now + after, self.next), timer);
        }
        let send = out.send.into_iter().map(|(id, bytes)| (id.name, id.boot_id, bytes)).collect();
        Came { send, changed: out.changed, renamed: out.renamed }
    }

    /// A gossip message has come.
    pub fn hear(&mut self, now: Micros, bytes: &[u8]) -> Came {
        // What can't be read came from a member with the key: it is passed over, like anything unknown.
        self.step(now, |swim, mut out| drop(swim.foca.handle_data(bytes, &mut out)))
    }

    /// A process has proven that it answers under this name.
    pub fn meet(&mut self, now: Micros, name: &MemberName, boot: u64) -> Came {
        let held = self.members().find(|m| m.id().name == *name).map(|m| (m.id().clone(), m.state()));
        // Held for failed, it is to hear of it from the announcement, and comes back by itself.
        let id = match &held {
            Some((id, _)) if id.boot_id == boot => id.clone(),
            _ => Identity { name: name.clone(), boot_id: boot, renewal: 0 },
        };
        let failed = held.is_some_and(|(old, state)| old == id && state == foca::State::Down);
        self.step(now, |swim, mut out| {
            if !failed {
                let there = std::iter::once(Member::alive(id.clone()));
                drop(swim.foca.apply_many(there, true, &mut out));
            }
            drop(swim.foca.announce(id, &mut out));
        })
    }

    /// Whether nothing is probed. `foca` rests once it holds nobody for active, and after it has come back under a
    /// renewed identity until somebody writes to it: two members that both rest would do so for ever.
    pub fn rests(&self) -> bool {
        !self.timers.values().any(|timer| matches!(timer, Timer::ProbeRandomMember(_)))
    }

    /// Whether this process is held to be there.
    pub fn holds(&self, name: &MemberName, boot: u64) -> bool {
        self.members()
            .any(|m| m.id().name == *name && m.id().boot_id == boot && m.state() != foca::State::Down)
    }

    /// When the next timer is due.
    pub fn next_at(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// What is due by now.
    pub fn pass(&mut self, now: Micros) -> Came {
        let later = self.timers.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut self.timers, later);
        let late = due.first_key_value().is_some_and(|((at, _), _)| now - at > self.probe / 2);
        let mut due: Vec<Timer<Identity>> = due.into_values().collect();
        // `foca` wants timers that are late together in its own order.
        due.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        self.step(now, |swim, out| {
            if late {
                out.signs.push(HealthSignal::TimerLate);
            }
            for timer in due {
                drop(swim.foca.handle_timer(timer, &mut *out));
            }
        })
    }

    /// The process was not run for so long: no time has passed for what it waits for.
    pub fn shift(&mut self, span: Micros) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, n), timer)| ((at + span, n), timer)).collect();
    }

    /// Says that we are gone.
    pub fn leave(&mut self, now: Micros) -> Came {
        self.step(now, |swim, mut out| drop(swim.foca.leave_cluster(&mut out)))
    }

    /// From now on under this identity.
    pub fn rename(&mut self, now: Micros, id: Identity) -> Came {
        self.step(now, |swim, mut out| drop(swim.foca.change_identity(id, &mut out)))
    }
}

impl std::fmt::Debug for Swim {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Swim")
            .field("id", self.foca.identity())
            .field("health", &self.health)
            .finish_non_exhaustive()
    }
}
