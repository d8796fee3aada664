//! Patterns of load, named for what makes them hard.

use std::time::Duration;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Requests a second over all zones.
    pub rate: f64,
    /// Different shared parts.
    pub parts: u64,
    /// Tokens of a shared part.
    pub shared: u64,
    /// Tokens of a request's own part, on average.
    pub own: u64,
    /// Tokens made, on average.
    pub output: u64,
    /// Time within which the first token is wanted.
    pub objective: Duration,
    /// How long callers wait.
    pub deadline: Duration,
    /// What an answer in time is worth.
    pub worth: f64,
}

/// What goes wrong, and when.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// An account sends many times its usual.
    Account {
        /// The account.
        account: usize,
        /// How many times.
        times: f64,
    },
    /// Part of a class's requests use one shared part.
    HotPart {
        /// The class.
        class: usize,
        /// Which part of its requests.
        share: f64,
    },
    /// A class comes many times as often.
    Burst {
        /// The class.
        class: usize,
        /// How many times.
        times: f64,
    },
    /// Servers lose all they run and keep, and are gone meanwhile.
    Crash {
        /// How many of them.
        servers: usize,
    },
    /// Servers are slow.
    Slow {
        /// How many of them.
        servers: usize,
        /// How many times as long everything takes.
        times: f64,
    },
    /// A zone's gateways hear no others and reach the servers of their zone only.
    ZoneCut,
    /// Callers repeat at once instead of coming back as told.
    Impatience {
        /// Which part of the callers.
        share: f64,
        /// How often.
        repeats: u32,
    },
}

/// A trouble with its time.
#[derive(Debug, Clone, Copy)]
pub struct Timed {
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
    /// What.
    pub trouble: Trouble,
}

/// A day of load.
#[derive(Debug, Clone)]
pub struct Pattern {
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// Accounts; the first one is the largest.
    pub accounts: usize,
    /// How uneven accounts are: the share of the n-th falls with n to this power.
    pub skew: f64,
    /// Factor on all rates.
    pub load: f64,
    /// Gateways.
    pub gateways: usize,
    /// Zones, over which gateways and servers are spread in turn.
    pub zones: usize,
    /// Servers.
    pub servers: usize,
    /// Tokens a second that the operators share out.
    pub token_rate: u64,
    /// Length.
    pub length: Duration,
    /// What goes wrong.
    pub troubles: Vec<Timed>,
}

impl Default for Pattern {
    /// The larger deployment's usual mix at its heaviest.
    fn default() -> Self {
        let class = |rate, parts, shared, own, output, objective, deadline, worth| Class {
            rate,
            parts,
            shared,
            own,
            output,
            objective: Duration::from_millis(objective),
            deadline: Duration::from_secs(deadline),
            worth,
        };
        Self {
            classes: vec![
                class(32.9, 116, 13_300, 3_720, 120, 600, 8, 3.7),
                class(30.0, 106, 6_300, 2_890, 52, 600, 5, 2.6),
                class(62.2, 146, 350, 1_110, 172, 400, 10, 0.32),
            ],
            accounts: 16,
            skew: 1.0,
            load: 1.1,
            gateways: 8,
            zones: 3,
            servers: 9,
            token_rate: 340_000,
            length: Duration::from_secs(24),
            troubles: Vec::new(),
        }
    }
}

impl Pattern {
    /// The pattern with one trouble between two seconds.
    pub fn with(mut self, from: u64, until: u64, trouble: Trouble) -> Self {
        self.troubles.push(Timed {
            from: Duration::from_secs(from),
            until: Duration::from_secs(until),
            trouble,
        });
        self
    }

    /// Troubles at a time.
    pub fn at(&self, now: Duration) -> impl Iterator<Item = Trouble> + '_ {
        let active = self.troubles.iter();
        let active = active.filter(move |timed| timed.from <= now && now < timed.until);
        active.map(|timed| timed.trouble)
    }
}

/// Named patterns, for the experiment tool and its tests.
pub fn named() -> Vec<(&'static str, Pattern)> {
    let usual = Pattern::default;
    vec![
        ("usual", usual()),
        (
            "one-large-account",
            usual().with(
                6,
                18,
                Trouble::Account {
                    account: 5,
                    times: 20.0,
                },
            ),
        ),
        (
            "hot-part",
            usual().with(
                6,
                18,
                Trouble::HotPart {
                    class: 0,
                    share: 0.4,
                },
            ),
        ),
        (
            "burst-of-long-prompts",
            usual().with(
                8,
                14,
                Trouble::Burst {
                    class: 0,
                    times: 2.5,
                },
            ),
        ),
        (
            "servers-lost",
            usual().with(8, 14, Trouble::Crash { servers: 3 }),
        ),
        (
            "servers-slow",
            usual().with(
                8,
                18,
                Trouble::Slow {
                    servers: 2,
                    times: 4.0,
                },
            ),
        ),
        ("zone-cut", usual().with(8, 15, Trouble::ZoneCut)),
        (
            "impatient-callers",
            Pattern {
                load: 1.6,
                ..usual()
            }
            .with(
                4,
                18,
                Trouble::Impatience {
                    share: 0.3,
                    repeats: 3,
                },
            ),
        ),
    ]
}
