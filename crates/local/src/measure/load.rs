//! Callers in closed loops: each sends its next request when the last one is answered.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

use crate::client::chat_body;
use crate::client::Client;
use crate::deployment::Deployment;

/// Stack of a caller's thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Pause after a request that was not served, so that a refusal does not become a busy loop.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// The caller's bound on output tokens, as a multiple of the true length: a rough hint.
const HINT_FACTORS: [u64; 4] = [1, 2, 4, 8];
/// Parts of each account's input that all its requests begin with, in words.
const SHARED_WORDS: usize = 20;

/// Lengths of answers, in tokens: mostly short, a few long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lengths {
    pub(crate) short: u64,
    pub(crate) long: u64,
    /// Every so many requests one is long.
    pub(crate) long_every: u32,
}

impl Lengths {
    fn draw(self, rng: &mut StdRng) -> u64 {
        if rng.random_range(0..self.long_every) == 0 {
            return rng.random_range(self.short..=self.long);
        }
        rng.random_range(1..=self.short)
    }
}

/// Callers of one account at one router.
#[derive(Debug, Clone)]
pub(crate) struct Crowd {
    pub(crate) account: AccountId,
    pub(crate) router: SocketAddr,
    pub(crate) callers: usize,
    pub(crate) lengths: Lengths,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) account: AccountId,
    pub(crate) begun: Mono,
    /// Time to the first event; nothing if none came.
    pub(crate) first: Option<Duration>,
    pub(crate) whole: bool,
}

/// What all callers share.
struct Shared {
    stop: AtomicBool,
    calls: Mutex<Vec<Call>>,
    next: AtomicU64,
    clock: Arc<dyn Clock>,
}

/// Running callers.
pub(crate) struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the callers of all crowds.
    pub(crate) fn start(
        deployment: &Deployment,
        crowds: &[Crowd],
        seed: u64,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            calls: Mutex::default(),
            next: AtomicU64::new(1),
            clock: Arc::clone(deployment.clock()),
        });
        let mut threads = Vec::new();
        for crowd in crowds {
            for _ in 0..crowd.callers {
                let number = threads.len() as u64;
                let caller = Caller {
                    crowd: crowd.clone(),
                    client: Client::new(&deployment.bearer(&crowd.account)),
                    rng: StdRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                    shared: Arc::clone(&shared),
                };
                let thread = std::thread::Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn(move || caller.run())?;
                threads.push(thread);
            }
        }
        Ok(Self { shared, threads })
    }

    /// Ends the callers after their present request, and returns all calls.
    pub(crate) fn stop(self) -> Vec<Call> {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a caller's thread panicked");
            }
        }
        let mut calls = self.shared.calls.lock().expect("calls lock poisoned");
        std::mem::take(&mut calls)
    }
}

struct Caller {
    crowd: Crowd,
    client: Client,
    rng: StdRng,
    shared: Arc<Shared>,
}

impl Caller {
    fn run(mut self) {
        while !self.shared.stop.load(Ordering::Relaxed) {
            let served = self.call();
            if !served {
                std::thread::sleep(REFUSED_PAUSE);
            }
        }
    }

    fn call(&mut self) -> bool {
        let tokens = self.crowd.lengths.draw(&mut self.rng);
        let factor = HINT_FACTORS[self.rng.random_range(0..HINT_FACTORS.len())];
        let number = self.shared.next.fetch_add(1, Ordering::Relaxed);
        let shared_words = vec![self.crowd.account.as_str(); SHARED_WORDS].join(" ");
        let text = format!("{shared_words} request {number}");
        let body = chat_body(&text, tokens, Some(tokens * factor), true);
        let begun = self.shared.clock.now();
        let key = format!("{}/{number}", self.crowd.account);
        let clock = Arc::clone(&self.shared.clock);
        let answer = self
            .client
            .stream(self.crowd.router, &body, &key, &*clock, |_| {});
        let call = match answer {
            Ok(answer) => Call {
                account: self.crowd.account.clone(),
                begun,
                first: answer.times.first().map(|at| at.saturating_sub(begun)),
                whole: answer.whole,
            },
            Err(error) => {
                log::debug!("a caller got no answer: {error}");
                Call {
                    account: self.crowd.account.clone(),
                    begun,
                    first: None,
                    whole: false,
                }
            }
        };
        let whole = call.whole;
        let mut calls = self.shared.calls.lock().expect("calls lock poisoned");
        calls.push(call);
        whole
    }
}
