//! The thread that all stand-ins of a test share.

use std::io;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::Notify;

/// A thread that runs stand-ins; dropping it stops the thread and all tasks on it.
#[derive(Debug)]
pub struct Runtime {
    handle: Handle,
    stop: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl Runtime {
    /// Starts the thread.
    pub fn new() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let stop = Arc::new(Notify::new());
        let stopped = stop.clone();
        let thread = thread::Builder::new()
            .name("standin".into())
            .spawn(move || runtime.block_on(stopped.notified()))?;
        Ok(Self {
            handle,
            stop,
            thread: Some(thread),
        })
    }

    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread; `drop` must not panic again.
            let _ = thread.join();
        }
    }
}
