//! The engine's clockwork: steps the state at its pace and carries out faults.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;

use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::state::State;
use super::state::Step;
use super::EngineConfig;
use crate::runtime::Runtime;
use crate::server::Switch;

/// What the handle, the requests and the clockwork share.
pub(crate) struct Core {
    pub(crate) crash_marker: String,
    state: Mutex<State>,
    switch: Arc<Switch>,
    work: Arc<Notify>,
    stopped: AtomicBool,
    hanging: watch::Sender<bool>,
}

impl Core {
    pub(crate) fn new(config: EngineConfig, switch: Arc<Switch>) -> Arc<Self> {
        Arc::new(Self {
            crash_marker: config.crash_marker.clone(),
            state: Mutex::new(State::new(config)),
            switch,
            work: Arc::new(Notify::new()),
            stopped: AtomicBool::new(false),
            hanging: watch::Sender::new(false),
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("engine lock poisoned")
    }

    /// Wakes the clockwork after a request was admitted.
    pub(crate) fn wake(&self) {
        self.work.notify_one();
    }

    /// Generates one token for every running stream, unless the engine hangs.
    pub(crate) fn step(&self) {
        if *self.hanging.borrow() {
            return;
        }
        let step = self.lock().step(Instant::now());
        if step == Step::Crash {
            self.crash();
        }
    }

    /// Loses all streams and closes the sockets.
    pub(crate) fn crash(&self) {
        // The sockets go first, so that no caller sees its stream end in another way.
        self.switch.close();
        self.lock().crash();
    }

    pub(crate) fn hang(&self, hang: bool) {
        self.hanging.send_replace(hang);
        self.wake();
    }

    /// Returns at once, or when the engine no longer hangs.
    pub(crate) async fn unless_hanging(&self) {
        let mut hanging = self.hanging.subscribe();
        // The sender lives in this core, so waiting cannot fail.
        let _ = hanging.wait_for(|hangs| !hangs).await;
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.wake();
    }
}

/// Runs the clockwork until the engine is stopped.
pub(crate) fn spawn(runtime: &Runtime, core: &Arc<Core>) {
    let work = core.work.clone();
    runtime
        .handle()
        .spawn(keep_pace(Arc::downgrade(core), work));
}

async fn keep_pace(core: Weak<Core>, work: Arc<Notify>) {
    let mut due = Instant::now();
    loop {
        let Some(pause) = next_pause(&core) else {
            return;
        };
        match pause {
            Pause::Work => {
                work.notified().await;
                due = Instant::now();
            }
            Pause::Step(time) => {
                due += time;
                tokio::time::sleep_until(due).await;
                if let Some(core) = core.upgrade() {
                    core.step();
                }
                // Other tasks run between two steps even when the pace cannot be kept.
                tokio::task::yield_now().await;
            }
        }
    }
}

enum Pause {
    Work,
    Step(std::time::Duration),
}

/// Returns what the clockwork waits for; `None` when the engine is stopped.
fn next_pause(core: &Weak<Core>) -> Option<Pause> {
    let core = core.upgrade()?;
    if core.stopped.load(Ordering::SeqCst) {
        return None;
    }
    if *core.hanging.borrow() {
        return Some(Pause::Work);
    }
    let state = core.lock();
    let time = state.step_time().filter(|_| state.is_busy());
    Some(time.map_or(Pause::Work, Pause::Step))
}
