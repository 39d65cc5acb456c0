//! SWIM on the `foca` crate, with timers that this module scales and postpones.
//!
//! Two things are added that `foca` lacks and that a server under partial failure needs. Time limits grow
//! while the server itself is slow (Lifeguard). After a stall of the process, timers do not all fire at once,
//! as that would turn each open suspicion into a failure that nobody could have refuted.

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

/// The number of members that are asked to probe a member that has not answered.
const INDIRECT_PROBES: usize = 3;
/// The number of members to which gossip is sent in each round.
const GOSSIP_FANOUT: usize = 3;
/// The number of failed members to which this server announces itself at a time.
const FAILED_MEMBERS_PER_ANNOUNCE: usize = 2;
/// The time between two announcements to an active member.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// How long a failed member is remembered. A new process with its name replaces it at once.
const FORGET_FAILED_AFTER: Duration = Duration::from_secs(86_400);

type ServerFoca = Foca<Identity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>;

/// A gossip message for one process.
pub struct GossipMessage {
    /// The member's name.
    pub to: MemberName,
    /// When the member's process started, in Unix microseconds.
    pub boot_id: u64,
    /// The encoded gossip.
    pub bytes: Vec<u8>,
}

/// The replacement of a process by a later one with the same name.
pub struct Replacement {
    /// The earlier process.
    pub earlier: Identity,
    /// The later process.
    pub later: Identity,
}

/// The results of one step.
#[derive(Default)]
pub struct SwimOutput {
    /// Messages to send.
    pub messages: Vec<GossipMessage>,
    /// Whether the state of a member may have changed.
    pub changed: bool,
    /// Processes that were replaced by later ones with the same name.
    pub replacements: Vec<Replacement>,
}

/// Collects the effects of one step of `foca`.
#[derive(Default)]
struct StepRecorder {
    output: SwimOutput,
    timers: Vec<(Timer<Identity>, Duration)>,
    signals: Vec<HealthSignal>,
    /// The incarnation under which this server last sent a message.
    incarnation: u16,
}

impl Runtime<Identity> for &mut StepRecorder {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::DataReceived(header) => {
                if matches!(header.message, Message::Ack(_) | Message::ForwardedAck { .. }) {
                    self.signals.push(HealthSignal::ProbeAnswered);
                }
            }
            Notification::DataSent(header) => {
                // A process increments its incarnation to refute a suspicion.
                if header.src_incarnation > self.incarnation {
                    self.signals.push(HealthSignal::Suspected);
                }
                self.incarnation = header.src_incarnation;
            }
            Notification::ProbeFailed(..) => {
                self.signals.push(HealthSignal::ProbeFailed);
                self.output.changed = true;
            }
            Notification::Rename(earlier, later) => {
                self.output.changed = true;
                let replacement = Replacement { earlier: earlier.clone(), later: later.clone() };
                self.output.replacements.push(replacement);
            }
            _ => self.output.changed = true,
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        let message = GossipMessage { to: to.name, boot_id: to.boot_id, bytes: data.to_vec() };
        self.output.messages.push(message);
    }

    fn submit_after(&mut self, timer: Timer<Identity>, after: Duration) {
        self.timers.push((timer, after));
    }
}

/// The SWIM protocol state, its timers and this server's local health.
pub struct Swim {
    foca: ServerFoca,
    /// Timers by the time at which they are due and a number that grows in the order in which they were set.
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    last_timer_number: u64,
    incarnation: u16,
    local_health: LocalHealth,
    probe_interval: Micros,
    suspicion_timeout: Micros,
    foca_config: foca::Config,
}

fn foca_config(config: &Config) -> foca::Config {
    let probe_interval = config.timing.probe_interval;
    let periodic = |frequency, members| {
        let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        Some(foca::PeriodicParams { frequency, num_members })
    };
    // The number of rounds in which an update reaches all members grows with the logarithm of the fleet
    // (SWIM, 4.1).
    let rounds = 4 + 3 * (config.roster_size() as f64).log2().ceil() as u8;
    foca::Config {
        probe_period: Duration::from_micros(probe_interval),
        // The rest of the interval is left for indirect probes.
        probe_rtt: Duration::from_micros(probe_interval * 2 / 5),
        num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(rounds).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_micros(config.suspicion_timeout()),
        remove_down_after: Some(FORGET_FAILED_AFTER),
        max_packet_size: NonZeroUsize::new(MAX_GOSSIP_LEN).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_INTERVAL, 1),
        periodic_announce_to_down_members: periodic(
            Duration::from_micros(2 * probe_interval),
            FAILED_MEMBERS_PER_ANNOUNCE,
        ),
        periodic_gossip: periodic(Duration::from_micros(probe_interval * 2 / 5), GOSSIP_FANOUT),
    }
}

impl Swim {
    /// Creates the protocol state of a member that knows no other members yet.
    pub fn new(identity: Identity, config: &Config, seed: u64) -> Swim {
        let foca_config = foca_config(config);
        let random = ChaCha8Rng::seed_from_u64(seed);
        Swim {
            foca: Foca::new(identity, foca_config.clone(), random, PostcardCodec),
            timers: BTreeMap::new(),
            last_timer_number: 0,
            incarnation: 0,
            local_health: LocalHealth::default(),
            probe_interval: config.timing.probe_interval,
            suspicion_timeout: config.suspicion_timeout(),
            foca_config,
        }
    }

    /// Adapts the time limits to another roster size.
    pub fn reconfigure(&mut self, config: &Config) {
        self.suspicion_timeout = config.suspicion_timeout();
        self.foca_config.max_transmissions = foca_config(config).max_transmissions;
        self.apply_suspicion_timeout();
    }

    fn apply_suspicion_timeout(&mut self) {
        let timeout = self.local_health.scale(self.suspicion_timeout);
        self.foca_config.suspect_to_down_after = Duration::from_micros(timeout);
        // `foca` rejects only changes of parameters that are fixed while it runs; none of these has changed.
        let _ = self.foca.set_config(self.foca_config.clone());
    }

    /// The identity of this process.
    pub fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// This server's local health score.
    pub fn local_health(&self) -> LocalHealth {
        self.local_health
    }

    /// All members that are known from gossip.
    pub fn members(&self) -> impl Iterator<Item = &Member<Identity>> {
        self.foca.iter_membership_state()
    }

    /// Handles a received gossip message.
    pub fn handle_gossip(&mut self, now: Micros, bytes: &[u8]) -> SwimOutput {
        // Undecodable gossip is ignored like other unknown input: it was sealed with the fleet's key, so it
        // comes from a member.
        self.step(now, |foca, mut recorder| drop(foca.handle_data(bytes, &mut recorder)))
    }

    /// Announces this server to a process that has completed the handshake under this name.
    pub fn announce_to(&mut self, now: Micros, name: &MemberName, boot_id: u64) -> SwimOutput {
        let known = self.members().find(|member| member.id().name == *name);
        let same_process = known.filter(|member| member.id().boot_id == boot_id);
        // A process that gossip lists as failed learns of that from the announcement and renews its identity.
        let is_failed = same_process.is_some_and(|member| member.state() == foca::State::Down);
        let identity = match same_process {
            Some(member) => member.id().clone(),
            None => Identity { name: name.clone(), boot_id, renewal: 0 },
        };
        self.step(now, |foca, mut recorder| {
            if !is_failed {
                let alive = std::iter::once(Member::alive(identity.clone()));
                drop(foca.apply_many(alive, true, &mut recorder));
            }
            drop(foca.announce(identity, &mut recorder));
        })
    }

    /// Whether no member is being probed. `foca` is idle while it has no active member, and after it has
    /// rejoined with a renewed identity until it receives a message. Two members that are both idle would
    /// therefore stay idle for ever.
    pub fn is_idle(&self) -> bool {
        !self.timers.values().any(|timer| matches!(timer, Timer::ProbeRandomMember(_)))
    }

    /// Whether this process is known and not failed.
    pub fn is_active(&self, name: &MemberName, boot_id: u64) -> bool {
        self.members().any(|member| {
            let is_process = member.id().name == *name && member.id().boot_id == boot_id;
            is_process && member.state() != foca::State::Down
        })
    }

    /// When the next timer is due.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Runs the timers that are due at `now`.
    pub fn handle_timeout(&mut self, now: Micros) -> SwimOutput {
        let later = self.timers.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut self.timers, later);
        let is_late = due.first_key_value().is_some_and(|((at, _), _)| now - at > self.probe_interval / 2);
        let mut due: Vec<Timer<Identity>> = due.into_values().collect();
        // `foca` requires timers that are due together to run in the order that it defines for them.
        due.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        self.step(now, |foca, recorder| {
            if is_late {
                recorder.signals.push(HealthSignal::TimerLate);
            }
            for timer in due {
                drop(foca.handle_timer(timer, &mut *recorder));
            }
        })
    }

    /// Postpones all timers by `span` after a stall of that length, so that the stall does not count as
    /// waiting time.
    pub fn postpone_timers(&mut self, span: Micros) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, number), timer)| ((at + span, number), timer)).collect();
    }

    /// Announces to the other members that this server leaves.
    pub fn leave(&mut self, now: Micros) -> SwimOutput {
        self.step(now, |foca, mut recorder| drop(foca.leave_cluster(&mut recorder)))
    }

    /// Continues with another identity.
    pub fn change_identity(&mut self, now: Micros, identity: Identity) -> SwimOutput {
        self.step(now, |foca, mut recorder| drop(foca.change_identity(identity, &mut recorder)))
    }

    /// Runs one step of `foca` and applies its effects on the local health and the timers.
    fn step(&mut self, now: Micros, run: impl FnOnce(&mut ServerFoca, &mut StepRecorder)) -> SwimOutput {
        let mut recorder = StepRecorder { incarnation: self.incarnation, ..StepRecorder::default() };
        run(&mut self.foca, &mut recorder);
        self.incarnation = recorder.incarnation;
        self.record_signals(&recorder.signals);
        for (timer, after) in recorder.timers {
            self.set_timer(now, timer, after);
        }
        recorder.output
    }

    fn record_signals(&mut self, signals: &[HealthSignal]) {
        let before = self.local_health;
        for signal in signals {
            self.local_health.record(*signal);
        }
        if self.local_health != before {
            self.apply_suspicion_timeout();
        }
    }

    fn set_timer(&mut self, now: Micros, timer: Timer<Identity>, after: Duration) {
        let after = after.as_micros() as Micros;
        // Both time limits of a probe are scaled, so that they stay in the same order.
        let is_scaled = matches!(timer, Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. });
        let after = if is_scaled { self.local_health.scale(after) } else { after };
        self.last_timer_number += 1;
        self.timers.insert((now + after, self.last_timer_number), timer);
    }
}

impl std::fmt::Debug for Swim {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Swim")
            .field("identity", self.foca.identity())
            .field("local_health", &self.local_health)
            .finish_non_exhaustive()
    }
}
