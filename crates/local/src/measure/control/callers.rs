//! Callers at a set pace, and long streams beside them.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;

use crate::client::model_body;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::measure::control::size::Size;
use crate::shape::model_name;

/// Threads that send the short requests.
const PACED: usize = 48;
/// Stack of a thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Output tokens of a short request.
const SHORT_TOKENS: u64 = 2;
/// Output tokens of a stream: more than a run lasts.
const LONG_TOKENS: u64 = 600;
/// Longest sleep of a thread before it looks whether it should end.
const NAP: Duration = Duration::from_millis(50);

/// What all threads share.
struct Shared {
    stop: AtomicBool,
    served: AtomicU64,
    next: AtomicU64,
    clock: Arc<dyn Clock>,
    routers: Vec<SocketAddr>,
    pools: usize,
}

/// Running callers.
pub(super) struct Callers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts the callers of the first zone.
    pub(super) fn start(deployment: &Deployment, size: Size) -> std::io::Result<Self> {
        let routers = (0..size.routers).map(|place| deployment.router(place).callers());
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            served: AtomicU64::new(0),
            next: AtomicU64::new(0),
            clock: Arc::clone(deployment.clock()),
            routers: routers.collect(),
            pools: deployment.shape().pools,
        });
        let mut callers = Self {
            shared,
            threads: Vec::new(),
        };
        let begun = deployment.clock().now();
        for number in 0..PACED {
            let paced = Paced {
                shared: Arc::clone(&callers.shared),
                clients: clients(deployment, number),
                due: begun + Duration::from_secs_f64(number as f64 / size.rate),
                period: Duration::from_secs_f64(PACED as f64 / size.rate),
            };
            callers.spawn(move || paced.run())?;
        }
        for number in 0..size.running {
            let shared = Arc::clone(&callers.shared);
            let (name, client) = clients(deployment, number).swap_remove(0);
            callers.spawn(move || shared.stream(&name, &client, number))?;
        }
        Ok(callers)
    }

    fn spawn(&mut self, body: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
        let builder = std::thread::Builder::new().name("caller".to_owned());
        self.threads
            .push(builder.stack_size(STACK_BYTES).spawn(body)?);
        Ok(())
    }

    /// Count of whole answers to short requests so far.
    pub(super) fn served(&self) -> u64 {
        self.shared.served.load(Ordering::Relaxed)
    }

    /// Tells the callers to end after their present request.
    pub(super) fn stop(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }

    /// Waits for the end; streams end when their router does.
    pub(super) fn join(self) {
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a caller's thread panicked");
            }
        }
    }
}

/// The accounts that a thread sends for, each with its client.
fn clients(deployment: &Deployment, number: usize) -> Vec<(String, Client)> {
    let accounts = &deployment.shape().accounts;
    let client = |place: usize| {
        let name = accounts[place % accounts.len()].name.clone();
        let client = Client::new(&deployment.bearer(&name));
        (name, client)
    };
    let places = (number..accounts.len().max(number + 1)).step_by(PACED);
    places.map(client).collect()
}

impl Shared {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sends one request; `true` if the whole answer came.
    fn call(&self, account: &str, client: &Client, number: u64, tokens: u64) -> bool {
        let place = usize::try_from(number).unwrap_or(0);
        // The strides keep accounts, pools and routers from going in step.
        let router = self.routers[(place / 7 + place) % self.routers.len()];
        let model = model_name(place % self.pools);
        let text = format!("request {number} of {account}");
        let body = model_body(&model, &text, tokens, Some(tokens), true);
        let key = format!("{account}/{number}");
        let answer = client.stream(router, &body, &key, &*self.clock, |_| {});
        answer.is_ok_and(|answer| answer.whole)
    }

    /// Keeps one stream running.
    fn stream(&self, account: &str, client: &Client, number: usize) {
        while !self.stopped() {
            if !self.call(account, client, number as u64, LONG_TOKENS) {
                std::thread::sleep(NAP);
            }
        }
    }
}

/// A thread that sends short requests at a set pace.
struct Paced {
    shared: Arc<Shared>,
    clients: Vec<(String, Client)>,
    due: Mono,
    period: Duration,
}

impl Paced {
    fn run(mut self) {
        let mut turn = 0;
        while !self.shared.stopped() {
            let left = self.due.saturating_sub(self.shared.clock.now());
            if left > Duration::ZERO {
                std::thread::sleep(left.min(NAP));
                continue;
            }
            self.due += self.period;
            let (account, client) = &self.clients[turn % self.clients.len()];
            turn += 1;
            let number = self.shared.next.fetch_add(1, Ordering::Relaxed);
            if self.shared.call(account, client, number, SHORT_TOKENS) {
                self.shared.served.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
