//! The engine's scheduler: generates tokens at the configured pace and applies faults.

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

/// State that the handle, the request handlers and the scheduler share.
pub(crate) struct Core {
    pub(crate) crash_marker: String,
    state: Mutex<State>,
    switch: Arc<Switch>,
    wakeup: Arc<Notify>,
    stopped: AtomicBool,
    hanging: watch::Sender<bool>,
}

impl Core {
    pub(crate) fn new(config: EngineConfig, switch: Arc<Switch>) -> Arc<Self> {
        Arc::new(Self {
            crash_marker: config.crash_marker.clone(),
            state: Mutex::new(State::new(config)),
            switch,
            wakeup: Arc::new(Notify::new()),
            stopped: AtomicBool::new(false),
            hanging: watch::Sender::new(false),
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("engine lock poisoned")
    }

    /// Wakes the scheduler after a request was admitted.
    pub(crate) fn wake(&self) {
        self.wakeup.notify_one();
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
        // The sockets are closed first, so that every client sees its connection break.
        self.switch.close();
        self.lock().crash();
    }

    pub(crate) fn hang(&self, hanging: bool) {
        self.hanging.send_replace(hanging);
        self.wake();
    }

    /// Waits while the engine hangs.
    pub(crate) async fn wait_while_hanging(&self) {
        let mut hanging = self.hanging.subscribe();
        // `self` owns the sender, so waiting cannot fail.
        let _ = hanging.wait_for(|hanging| !hanging).await;
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.wake();
    }
}

/// Starts the scheduler task, which runs until the engine is stopped.
pub(crate) fn spawn(runtime: &Runtime, core: &Arc<Core>) {
    let wakeup = core.wakeup.clone();
    runtime
        .handle()
        .spawn(run_steps(Arc::downgrade(core), wakeup));
}

async fn run_steps(core: Weak<Core>, wakeup: Arc<Notify>) {
    let mut due = Instant::now();
    loop {
        let Some(wait) = next_wait(&core) else {
            return;
        };
        match wait {
            Wait::Wakeup => {
                wakeup.notified().await;
                due = Instant::now();
            }
            Wait::Step(step_time) => {
                due += step_time;
                tokio::time::sleep_until(due).await;
                if let Some(core) = core.upgrade() {
                    core.step();
                }
                // Lets other tasks run between two steps even if the steps fall behind the pace.
                tokio::task::yield_now().await;
            }
        }
    }
}

enum Wait {
    Wakeup,
    Step(std::time::Duration),
}

/// Returns what the scheduler waits for next; `None` if the engine is stopped.
fn next_wait(core: &Weak<Core>) -> Option<Wait> {
    let core = core.upgrade()?;
    if core.stopped.load(Ordering::SeqCst) {
        return None;
    }
    if *core.hanging.borrow() {
        return Some(Wait::Wakeup);
    }
    let state = core.lock();
    let time = state.step_time().filter(|_| state.is_busy());
    Some(time.map_or(Wait::Wakeup, Wait::Step))
}
