//! A test fleet: several writers, one key-value store and a few servers, with a manual clock.

use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_order::Action;
use primrose_order::Desired;
use primrose_order::Executor;
use primrose_order::OrderConfig;
use primrose_order::Target;
use primrose_order::Writer;
use primrose_store::memory::MemoryStore;
use primrose_support::clock::FakeClock;

use crate::servers::FakeServers;
use crate::servers::WriterClient;
use crate::slow::SlowStore;

/// Time that a load takes: longer than a lease, so that a load outlives its holder.
pub(crate) const LOAD_TIME: Duration = Duration::from_secs(90);

/// Maximum number of actions of one [`Fleet::run_process`] or [`Fleet::run_until_send`].
const MAX_ACTIONS: usize = 200;

/// Maximum number of actions of one [`Fleet::pause_before`].
const MAX_ACTIONS_BEFORE_PAUSE: usize = 2_000;

/// A writer and the executor of its actions.
pub(crate) struct Process {
    pub(crate) writer: Writer,
    pub(crate) executor: Executor,
    /// Action that the process was about to carry out when it was paused.
    pub(crate) paused: Option<Action>,
}

/// Writers, store and servers of a test.
pub(crate) struct Fleet {
    pub(crate) clock: Arc<FakeClock>,
    pub(crate) store: Arc<MemoryStore>,
    /// The same store with delayed replies, as the writers use it.
    pub(crate) slow: Arc<SlowStore>,
    pub(crate) servers: Arc<FakeServers>,
    pub(crate) processes: Vec<Process>,
    config: OrderConfig,
    checks: Vec<bool>,
    writers: usize,
}

impl Fleet {
    /// Creates a fleet with one server for each value of `checks`, which tells whether the server
    /// checks fencing numbers.
    pub(crate) fn new(writers: usize, checks: &[bool]) -> Self {
        let config = OrderConfig {
            unreachable_timeout: Duration::from_secs(3600),
            settle_timeout: Duration::from_secs(3600),
            max_loads: 1,
            ..OrderConfig::new("fleet", "", 0)
        };
        Self::with_config(config, writers, checks)
    }

    pub(crate) fn with_config(config: OrderConfig, writers: usize, checks: &[bool]) -> Self {
        let clock = Arc::new(FakeClock::new());
        let store = Arc::new(MemoryStore::new(clock.clone()));
        let mut fleet = Self {
            slow: Arc::new(SlowStore::new(store.clone(), clock.clone())),
            store,
            servers: FakeServers::new(clock.clone(), LOAD_TIME, checks),
            processes: Vec::new(),
            clock,
            config,
            checks: checks.to_vec(),
            writers: 0,
        };
        for _ in 0..writers {
            let process = fleet.start();
            fleet.processes.push(process);
        }
        fleet
    }

    /// Starts a process with a new number.
    fn start(&mut self) -> Process {
        let writer = self.writers;
        self.writers += 1;
        let config = OrderConfig {
            holder: format!("host-{writer}"),
            seed: writer as u64,
            ..self.config.clone()
        };
        let client = WriterClient {
            writer,
            servers: self.servers.clone(),
        };
        Process {
            writer: Writer::new(config),
            executor: Executor::new(self.slow.clone(), Arc::new(client), self.clock.clone()),
            paused: None,
        }
    }

    /// Crashes a process and starts another in its place.
    pub(crate) fn replace(&mut self, process: usize) {
        self.processes[process] = self.start();
    }

    /// Sets all servers as the targets of a writer, with the given version and role.
    pub(crate) fn set_desired(&mut self, process: usize, version: &str, role: &str) {
        let desired = Desired {
            model: "linen".into(),
            version: version.into(),
            role: role.into(),
        };
        let targets = self
            .checks
            .iter()
            .enumerate()
            .map(|(server, checks)| Target {
                server: format!("s{server}"),
                addr: FakeServers::addr(server),
                desired: desired.clone(),
                checks_fence: *checks,
            });
        let now = self.clock.now();
        let writer = &mut self.processes[process].writer;
        writer.set_targets(targets.collect(), now);
    }

    /// Removes all targets of a writer.
    pub(crate) fn clear_targets(&mut self, process: usize) {
        let now = self.clock.now();
        self.processes[process].writer.set_targets(Vec::new(), now);
    }

    /// Resumes a process if it is paused, and carries out all its actions that are due.
    pub(crate) fn run_process(&mut self, process: usize) {
        self.resume(process);
        let process = &mut self.processes[process];
        process.executor.run(&mut process.writer, MAX_ACTIONS);
    }

    /// Pauses a process right before it carries out its next action.
    pub(crate) fn pause(&mut self, process: usize) {
        let now = self.clock.now();
        let process = &mut self.processes[process];
        if process.paused.is_none() {
            process.paused = process.writer.poll(now);
        }
    }

    /// Carries out the action before which a process was paused.
    pub(crate) fn resume(&mut self, process: usize) {
        let process = &mut self.processes[process];
        let Some(action) = process.paused.take() else {
            return;
        };
        if let Some(event) = process.executor.perform(action) {
            process.writer.handle(event, self.clock.now());
        }
    }

    /// Runs all processes for a time, second by second.
    pub(crate) fn run(&mut self, time: Duration) {
        let step = Duration::from_secs(1);
        for _ in 0..time.as_secs() {
            for process in 0..self.processes.len() {
                self.run_process(process);
            }
            self.clock.advance(step);
        }
    }

    /// Runs all other processes for some seconds while this one sleeps.
    pub(crate) fn sleep(&mut self, process: usize, secs: u64) {
        for _ in 0..secs {
            for other in 0..self.processes.len() {
                if other != process {
                    self.run_process(other);
                }
            }
            self.clock.advance(Duration::from_secs(1));
        }
    }

    /// Runs a process until it is about to carry out a chosen action, and pauses it there.
    ///
    /// Returns false if no such action comes.
    pub(crate) fn pause_before(&mut self, process: usize, chosen: fn(&Action) -> bool) -> bool {
        for _ in 0..MAX_ACTIONS_BEFORE_PAUSE {
            self.pause(process);
            match &self.processes[process].paused {
                Some(action) if chosen(action) => return true,
                Some(_) => self.resume(process),
                None => self.clock.advance(Duration::from_millis(500)),
            }
        }
        false
    }

    /// Carries out the actions of a process that are due, and pauses it before it sends an order.
    pub(crate) fn run_until_send(&mut self, process: usize) {
        for _ in 0..MAX_ACTIONS {
            self.pause(process);
            match &self.processes[process].paused {
                None | Some(Action::Send { .. }) => return,
                Some(_) => self.resume(process),
            }
        }
    }

    /// Returns the versions of all servers.
    pub(crate) fn versions(&self) -> Vec<String> {
        let servers = 0..self.checks.len();
        servers
            .map(|server| self.servers.state(server).version)
            .collect()
    }
}

/// Returns whether an action sends an order.
pub(crate) fn is_send(action: &Action) -> bool {
    matches!(action, Action::Send { .. })
}

/// Returns whether an action is a commit.
pub(crate) fn is_commit(action: &Action) -> bool {
    matches!(action, Action::Commit { .. })
}
