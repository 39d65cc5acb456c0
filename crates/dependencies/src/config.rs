//! What the operator says about dependencies and plans, and what is wrong with it.

use std::collections::BTreeSet;

use umberloom::interface::Micros;

/// One millisecond, in the unit of all times here.
const MS: Micros = 1_000;

/// All dependencies and plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The services that runs depend on.
    pub dependencies: Vec<Dependency>,
    /// What runs of each class ask of them.
    pub plans: Vec<Plan>,
    /// Bounds on kept results.
    pub kept: FallbackCacheLimits,
}

/// One service, behind one or more endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Dependency {
    /// Its name, told apart from all others.
    pub name: String,
    /// Addresses of its endpoints. Here they are only names.
    pub endpoints: Vec<String>,
    /// A call may be made again although it may have run.
    pub repeatable: bool,
    /// Further attempts of a call.
    pub retry: Retry,
    /// When a slow call gets a second copy; only for what is repeatable.
    pub hedge: Option<Hedge>,
    /// Calls in flight.
    pub limit: Bounds,
    /// Calls in flight at one endpoint.
    pub endpoint_limit: Bounds,
    /// Calls at once that the dependency survives from all servers, and the number of those servers: one server's
    /// share is a ceiling on its limit. One server stands for all where they share it by loans, which
    /// [`crate::Engine::cap`] brings in.
    pub survives: Option<(f64, u32)>,
    /// When calls stop for a while; never without.
    pub breaker: Option<Breaker>,
    /// How endpoints are chosen and left out.
    pub route: Route,
    /// What stands in for a reply, in this order.
    pub fallbacks: Vec<Fallback>,
}

impl Dependency {
    /// A dependency with this name and these endpoints, and all else as it is unless set.
    pub fn new(name: &str, endpoints: &[&str]) -> Dependency {
        Dependency {
            name: name.to_owned(),
            endpoints: endpoints.iter().map(|&e| e.to_owned()).collect(),
            repeatable: false,
            retry: Retry::default(),
            hedge: None,
            limit: Bounds { start: 8, least: 1, most: 64 },
            endpoint_limit: Bounds { start: 8, least: 1, most: 64 },
            survives: None,
            breaker: Some(Breaker::default()),
            route: Route::default(),
            fallbacks: Vec::new(),
        }
    }

    /// The most calls in flight that the operator allows this server.
    pub fn ceiling(&self) -> usize {
        let share = self.survives.map_or(f64::MAX, |(calls, servers)| calls / f64::from(servers.max(1)));
        self.limit.most.min(share.max(1.0) as usize)
    }
}

/// Further attempts of a call, out of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retry {
    /// Attempts that may follow a first one.
    pub most: u32,
    /// Further attempts for each first one, over all calls.
    pub share: f64,
    /// Further attempts that can be saved up.
    pub burst: f64,
    /// Mean wait before the first of them; it doubles with each.
    pub back_off: Micros,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry { most: 2, share: 0.1, burst: 10.0, back_off: 10 * MS }
    }
}

/// When a second copy of a call is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedge {
    /// Once the call has taken longer than this share of calls take.
    pub quantile: f64,
    /// But not sooner than this.
    pub least: Micros,
}

/// Bounds of a limit that climbs and falls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Where it starts.
    pub start: usize,
    /// It never falls below this.
    pub least: usize,
    /// It never climbs above this.
    pub most: usize,
}

/// When a dependency is not called for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Breaker {
    /// Share of failed calls at which it opens.
    pub share: f64,
    /// Calls that are looked back on.
    pub calls: u32,
    /// How long it stays open at first.
    pub open: Micros,
}

impl Default for Breaker {
    fn default() -> Breaker {
        Breaker { share: 0.5, calls: 20, open: 1_000 * MS }
    }
}

/// How endpoints are chosen and left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    /// Failures in a row after which an endpoint is left out.
    pub failures: u32,
    /// It lags when it takes so many times what the middle one of the others takes.
    pub lag: f64,
    /// How long it is left out at first.
    pub out: Micros,
    /// Share of the endpoints that may be out at once.
    pub out_most: f64,
    /// Time over which one that comes back gets its full share again.
    pub ramp: Micros,
    /// Servers that route to the same endpoints, this one included: by the platform's settings, not by the operator's file.
    /// Their probes are spread by it.
    pub servers: u32,
}

impl Default for Route {
    fn default() -> Route {
        Route { failures: 5, lag: 5.0, out: 1_000 * MS, out_most: 0.5, ramp: 5_000 * MS, servers: 1 }
    }
}

/// What stands in for a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// An earlier reply about the same resource, no older than this.
    Kept(Micros),
    /// Always the same.
    Constant(Vec<u8>),
    /// Nothing; the part is named as left out.
    LeftOut,
}

/// Bounds on kept results, over all dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FallbackCacheLimits {
    /// Results at most.
    pub entries: usize,
    /// Bytes at most, keys included.
    pub bytes: usize,
}

impl Default for FallbackCacheLimits {
    fn default() -> FallbackCacheLimits {
        FallbackCacheLimits { entries: 4_096, bytes: 1 << 20 }
    }
}

/// What a run of one class asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the class.
    pub class: String,
    /// One after the other.
    pub stages: Vec<Stage>,
}

/// Calls that are made side by side.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Its weight among the stages that are left when it starts.
    pub share: f64,
    /// With less time than this it is not begun.
    pub least: Micros,
    /// More time than this it never gets.
    pub most: Micros,
    /// The calls.
    pub calls: Vec<Call>,
}

/// One call of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Name of the dependency.
    pub dependency: String,
    /// Without it the request fails; else the answer is partial.
    pub needed: bool,
}

/// Where a mistake is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum At {
    /// In the bounds on kept results.
    Kept,
    /// In the dependency at this place.
    Dependency(usize),
    /// In the plan at this place.
    Plan(usize),
    /// In this stage of a plan.
    Stage(usize, usize),
    /// In this call of a stage of a plan.
    Call(usize, usize, usize),
}

/// One thing that is wrong, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Where.
    pub at: At,
    /// What was found and what was expected.
    pub what: String,
}

/// The most of anything that is named: enough for any site, and few enough to pass over in a step.
const MOST: usize = 64;
/// The longest constant, as the longest reply.
const CONSTANT: usize = 4 * 1024;

impl Config {
    /// All that is wrong with it, in the order of the file.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        if self.kept.entries > 1 << 20 {
            found.push(ConfigError {
                at: At::Kept,
                what: format!("{} kept results, at most 1048576", self.kept.entries),
            });
        }
        let mut names = BTreeSet::new();
        for (place, dependency) in self.dependencies.iter().enumerate() {
            let mut say = |what: String| found.push(ConfigError { at: At::Dependency(place), what });
            if !names.insert(dependency.name.as_str()) {
                say(format!("a second dependency {:?}; each has a name of its own", dependency.name));
            }
            dependency.check(&mut say);
        }
        if self.dependencies.len() > MOST {
            let what = format!("{} dependencies, at most {MOST}", self.dependencies.len());
            found.push(ConfigError { at: At::Dependency(MOST), what });
        }
        let mut classes = BTreeSet::new();
        for (place, plan) in self.plans.iter().enumerate() {
            if !classes.insert(plan.class.as_str()) {
                let what = format!("a second plan for the class {:?}", plan.class);
                found.push(ConfigError { at: At::Plan(place), what });
            }
            plan.check(place, &names, &mut found);
        }
        found
    }
}

fn is_share(share: f64) -> bool {
    share > 0.0 && share <= 1.0
}

impl Dependency {
    fn check(&self, say: &mut impl FnMut(String)) {
        if self.name.is_empty() || self.name.len() > 64 {
            say("a name of 1 to 64 bytes is expected".to_owned());
        }
        let count = self.endpoints.len();
        if count == 0 || count > MOST {
            say(format!("{count} endpoints, 1 to {MOST} are expected"));
        }
        let distinct: BTreeSet<&String> = self.endpoints.iter().collect();
        if distinct.len() < count {
            say("an endpoint is named twice".to_owned());
        }
        if !(0.0..=1.0).contains(&self.retry.share) || !(0.0..=1_000.0).contains(&self.retry.burst) {
            say("the retry budget is a share from 0 to 1, with a burst from 0 to 1000".to_owned());
        }
        if self.retry.most > 10 {
            say(format!("{} further attempts, at most 10", self.retry.most));
        }
        if let Some(hedge) = self.hedge {
            if !(0.5..1.0).contains(&hedge.quantile) {
                say(format!(
                    "a hedge after the quantile {}, from 0.5 to under 1 is expected",
                    hedge.quantile
                ));
            }
            if !self.repeatable {
                say("a hedge makes a call twice: the dependency must be declared safe to repeat".to_owned());
            }
        }
        for bounds in [self.limit, self.endpoint_limit] {
            if bounds.least == 0 || bounds.least > bounds.start || bounds.start > bounds.most {
                say(format!(
                    "a limit from {} over {} to {}: the least is over 0, and none is over the next",
                    bounds.least, bounds.start, bounds.most
                ));
            }
        }
        if self.survives.is_some_and(|(calls, servers)| !calls.is_finite() || calls < 1.0 || servers == 0) {
            say("what the dependency survives is a number of calls from 1, over one or more servers"
                .to_owned());
        }
        let sound = |b: Breaker| is_share(b.share) && (1..=1_000).contains(&b.calls);
        if !self.breaker.is_none_or(sound) {
            say("the breaker opens at a share over 0 up to 1, of 1 to 1000 calls".to_owned());
        }
        let Route { failures, lag, out_most, .. } = self.route;
        if failures == 0 || lag.is_nan() || lag <= 1.0 || !(0.0..=1.0).contains(&out_most) {
            say("an endpoint is out after 1 failure or more or a lag over 1, and a share from 0 to 1 may be"
                .to_owned());
        }
        if self.fallbacks.iter().any(|f| matches!(f, Fallback::Constant(text) if text.len() > CONSTANT)) {
            say(format!("a constant of more than {CONSTANT} bytes"));
        }
        let last = self.fallbacks.iter().position(|f| !matches!(f, Fallback::Kept(_)));
        if last.is_some_and(|last| last + 1 < self.fallbacks.len()) {
            say("what comes behind a constant or a part left out is never reached".to_owned());
        }
    }
}

impl Plan {
    fn check(&self, place: usize, names: &BTreeSet<&str>, found: &mut Vec<ConfigError>) {
        if self.stages.is_empty() || self.stages.len() > MOST {
            let what = format!("{} stages, 1 to {MOST} are expected", self.stages.len());
            found.push(ConfigError { at: At::Plan(place), what });
        }
        let mut seen = BTreeSet::new();
        for (number, stage) in self.stages.iter().enumerate() {
            let mut say = |what: String| found.push(ConfigError { at: At::Stage(place, number), what });
            if !stage.share.is_finite() || stage.share <= 0.0 {
                say(format!("a share of {}, over 0 is expected", stage.share));
            }
            if stage.least > stage.most {
                say(format!("at least {} ms and at most {} ms", stage.least / MS, stage.most / MS));
            }
            if stage.calls.is_empty() || stage.calls.len() > MOST {
                say(format!("{} calls, 1 to {MOST} are expected", stage.calls.len()));
            }
            for (which, call) in stage.calls.iter().enumerate() {
                let mut say =
                    |what: String| found.push(ConfigError { at: At::Call(place, number, which), what });
                let name = call.dependency.as_str();
                if !names.contains(name) {
                    say(format!("no dependency is called {name:?}"));
                }
                if !seen.insert(name) {
                    say(format!("{name:?} is called a second time in this plan"));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sound() -> Config {
        let call = |name: &str, needed| Call { dependency: name.to_owned(), needed };
        let stage = |calls| Stage { share: 1.0, least: 0, most: 1_000_000, calls };
        let stages = vec![stage(vec![call("a", true), call("b", false)])];
        Config {
            dependencies: vec![Dependency::new("a", &["x", "y"]), Dependency::new("b", &["z"])],
            plans: vec![Plan { class: "book".to_owned(), stages }],
            kept: FallbackCacheLimits::default(),
        }
    }

    #[test]
    fn a_sound_one_has_no_mistakes() {
        assert_eq!(sound().validate(), []);
    }

    #[test]
    fn every_mistake_is_told_with_its_place() {
        type Spoil = fn(&mut Config);
        let cases: [(Spoil, At, &str); 14] = [
            (|c| c.kept.entries = usize::MAX, At::Kept, "kept results"),
            (|c| c.dependencies[1].name = "a".to_owned(), At::Dependency(1), "a second dependency"),
            (|c| c.dependencies[0].endpoints.clear(), At::Dependency(0), "0 endpoints"),
            (|c| c.dependencies[0].endpoints[1] = "x".to_owned(), At::Dependency(0), "twice"),
            (|c| c.dependencies[0].retry.share = f64::NAN, At::Dependency(0), "retry budget"),
            (|c| c.dependencies[0].retry.most = 11, At::Dependency(0), "11 further"),
            (
                |c| c.dependencies[1].hedge = Some(Hedge { quantile: 0.9, least: 0 }),
                At::Dependency(1),
                "safe to",
            ),
            (|c| c.dependencies[1].limit.least = 0, At::Dependency(1), "a limit from 0"),
            (|c| c.dependencies[1].survives = Some((0.5, 3)), At::Dependency(1), "survives"),
            (
                |c| c.dependencies[0].breaker = Some(Breaker { share: 0.0, ..Breaker::default() }),
                At::Dependency(0),
                "breaker",
            ),
            (|c| c.dependencies[0].route.lag = f64::NAN, At::Dependency(0), "lag"),
            (|c| c.plans[0].stages[0].share = 0.0, At::Stage(0, 0), "a share of 0"),
            (|c| c.plans[0].stages[0].least = 2_000_000, At::Stage(0, 0), "at least 2000 ms"),
            (
                |c| c.plans[0].stages[0].calls[1].dependency = "c".to_owned(),
                At::Call(0, 0, 1),
                "no dependency",
            ),
        ];
        for (spoil, at, what) in cases {
            let mut config = sound();
            spoil(&mut config);
            let found = config.validate();
            assert!(found.iter().any(|m| m.at == at && m.what.contains(what)), "{what}: {found:?}");
        }
    }

    #[test]
    fn all_mistakes_come_at_once() {
        let mut config = sound();
        config.dependencies[0].fallbacks = vec![Fallback::LeftOut, Fallback::Kept(1)];
        config.plans[0].stages[0].calls[1].dependency = "a".to_owned();
        config.plans.push(Plan { class: "book".to_owned(), stages: vec![] });
        let places: Vec<At> = config.validate().iter().map(|m| m.at).collect();
        assert_eq!(places, [At::Dependency(0), At::Call(0, 0, 1), At::Plan(1), At::Plan(1)]);
    }

    #[test]
    fn one_servers_share_is_a_ceiling() {
        let mut dependency = Dependency::new("a", &["x"]);
        assert_eq!(dependency.ceiling(), 64);
        dependency.survives = Some((40.0, 10));
        assert_eq!(dependency.ceiling(), 4);
        dependency.survives = Some((4.0, 10));
        assert_eq!(dependency.ceiling(), 1);
    }
}
