//! The claims desk: groups what waits into commits, and deals with lost replies and outages.
//!
//! The desk is a plain state machine. [`Desk::submit`] takes an order, [`Desk::plan`] names the
//! next call to the service, and [`Desk::answered`] takes its result. [`Desk::step`] joins the
//! three over a [`Store`], for a thread that does nothing else. One call is under way at a time:
//! while it is, orders gather, and the next commit carries them all, up to [`MAX_OPS`].

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::mem::take;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::RequestId;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Key;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_store::store::Version;
use primrose_store::store::Written;
use primrose_store::store::MAX_OPS;

use crate::call::Call;
use crate::call::CallResult;
use crate::call::Counts;
use crate::call::Limits;
use crate::order::ClaimResult;
use crate::order::Order;
use crate::order::Reply;
use crate::order::Wish;
use crate::outage::Outage;
use crate::record::UnixMillis;
use crate::task::Known;
use crate::task::Next;
use crate::task::Task;

/// Smallest number of operations to which a commit shrinks after conflicts.
const MIN_GROUP: usize = 4;

/// Groups claims and closings into commits.
#[derive(Debug)]
pub struct Desk {
    prefix: String,
    limits: Limits,
    /// Wishes to claim that wait.
    claims: VecDeque<Task>,
    /// Releases and settlements that wait.
    closings: VecDeque<Task>,
    /// Tasks of the call under way.
    pending: Vec<Task>,
    /// Versions of the claims that were made here and are still open.
    held: HashMap<RequestId, Version>,
    outage: Outage,
    group: usize,
    read_last: bool,
    counts: Counts,
}

impl Desk {
    /// Makes a desk whose keys begin with the prefix.
    pub fn new(prefix: &str, limits: Limits) -> Self {
        Self {
            prefix: prefix.to_owned(),
            limits,
            claims: VecDeque::new(),
            closings: VecDeque::new(),
            pending: Vec::new(),
            held: HashMap::new(),
            outage: Outage::default(),
            group: MAX_OPS,
            read_last: false,
            counts: Counts::default(),
        }
    }

    /// Counts since the desk was made.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Orders that wait or are under way.
    pub fn waiting(&self) -> usize {
        self.claims.len() + self.closings.len() + self.pending.len()
    }

    /// Takes an order; answers at once if a claim has to be turned away.
    pub fn submit(&mut self, order: Order, now: Mono) -> Option<Reply> {
        let request = order.request;
        if order.wish != Wish::Claim {
            let held = self.held.remove(&request);
            let task = Task::new(&self.prefix, order, held, now);
            self.keep_closing(task);
            return None;
        }
        let full = self.claims.len() >= self.limits.claims;
        if full || self.outage.turned_away(now).is_some() {
            return Some(self.turn_away(request, now));
        }
        let task = Task::new(&self.prefix, order, None, now);
        self.claims.push_back(task);
        None
    }

    fn turn_away(&mut self, request: RequestId, now: Mono) -> Reply {
        self.counts.unavailable += 1;
        let retry_after = self.outage.retry_after(now);
        let result = ClaimResult::Unavailable { retry_after };
        Reply { request, result }
    }

    /// Keeps a closing until it is written; sheds answers first, then the oldest closing.
    fn keep_closing(&mut self, task: Task) {
        self.closings.push_back(task);
        let bytes = |closings: &VecDeque<Task>| closings.iter().map(Task::bytes).sum::<usize>();
        if bytes(&self.closings) > self.limits.closing_bytes {
            self.closings.iter_mut().for_each(Task::shorten);
        }
        if self.closings.len() > self.limits.closings {
            self.closings.pop_front();
            self.counts.dropped += 1;
        }
    }

    /// Answers the claims that have waited too long; what they may have written is released.
    pub fn expire(&mut self, now: Mono) -> Vec<Reply> {
        let wait = self.limits.claim_wait;
        let (late, waiting): (Vec<_>, Vec<_>) = take(&mut self.claims)
            .into_iter()
            .partition(|task| now.saturating_sub(task.since) > wait);
        self.claims = waiting.into();
        let mut replies = Vec::new();
        for mut task in late {
            replies.push(self.turn_away(task.order.request, now));
            if task.uncertain {
                task.give_up();
                self.keep_closing(task);
            }
        }
        replies
    }

    /// Names the next call, unless one is under way or nothing can be done yet.
    pub fn plan(&mut self, now: Mono, at: UnixMillis) -> Option<Call> {
        if !self.pending.is_empty() || self.outage.blocked(now).is_some() {
            return None;
        }
        // Reads and commits take turns, so that neither keeps the other waiting.
        let read_first = !self.read_last;
        self.read_last = read_first;
        if read_first {
            return self.plan_read().or_else(|| self.plan_commit(now, at));
        }
        self.plan_commit(now, at).or_else(|| self.plan_read())
    }

    /// Monotonic time at which [`Desk::plan`] or [`Desk::expire`] will have something to do.
    pub fn wake(&self) -> Option<Mono> {
        let oldest = self.claims.front().or(self.closings.front())?;
        let gathered = oldest.since + self.limits.window;
        Some(gathered.max(self.outage.until()))
    }

    fn plan_read(&mut self) -> Option<Call> {
        let unread = |task: &Task| task.known == Known::Nothing;
        let queues = [&mut self.claims, &mut self.closings];
        let task = queues.into_iter().find_map(|queue| {
            let place = queue.iter().position(unread)?;
            queue.remove(place)
        })?;
        let key = task.key.clone();
        self.pending.push(task);
        self.counts.reads += 1;
        Some(Call::Get(key))
    }

    fn plan_commit(&mut self, now: Mono, at: UnixMillis) -> Option<Call> {
        if !self.gathered(now) {
            return None;
        }
        let mut keys = HashSet::new();
        // A quarter of a commit is kept for closings, so that a flood of claims cannot starve them.
        let kept = self.closings.len().min(self.group / 4);
        self.pending = take_ready(&mut self.claims, self.group - kept, &mut keys);
        let room = self.group - self.pending.len();
        let closings = take_ready(&mut self.closings, room, &mut keys);
        self.pending.extend(closings);
        if self.pending.is_empty() {
            return None;
        }
        let ops: Vec<Op> = self.pending.iter().filter_map(|task| task.op(at)).collect();
        self.counts.commits += 1;
        self.counts.ops += ops.len() as u64;
        Some(Call::Commit(ops))
    }

    /// Whether a commit is full, or its oldest order has waited for the window.
    fn gathered(&self, now: Mono) -> bool {
        let fronts = [self.claims.front(), self.closings.front()];
        let oldest = fronts.into_iter().flatten().map(|task| task.since).min();
        let full = self.claims.len() + self.closings.len() >= self.group;
        full || oldest.is_some_and(|since| now.saturating_sub(since) >= self.limits.window)
    }

    /// Takes the result of the call that [`Desk::plan`] named last.
    pub fn answered(&mut self, result: CallResult, now: Mono, at: UnixMillis) -> Vec<Reply> {
        let tasks = take(&mut self.pending);
        match result {
            CallResult::Got(Ok(entry)) => {
                self.outage.answered();
                self.read_back(tasks, entry.as_ref(), at)
            }
            CallResult::Got(Err(error)) => self.failed(tasks, &error, now),
            CallResult::Committed(Ok(CommitResult::Applied(written))) => {
                self.outage.answered();
                self.group = (self.group * 2).min(MAX_OPS);
                self.applied(&tasks, &written)
            }
            CallResult::Committed(Ok(CommitResult::Conflict(conflict))) => {
                self.outage.answered();
                self.group = (self.group / 2).max(MIN_GROUP);
                self.conflicted(tasks, conflict.op);
                Vec::new()
            }
            CallResult::Committed(Err(error)) => self.failed(tasks, &error, now),
        }
    }

    fn applied(&mut self, tasks: &[Task], written: &[Written]) -> Vec<Reply> {
        let claims = tasks.iter().filter(|task| task.is_claim());
        let made = claims.map(|task| {
            let found = written.iter().find(|one| one.key == task.key);
            (task.order.request, found.map(|one| one.version))
        });
        made.collect::<Vec<_>>()
            .into_iter()
            .map(|(request, version)| self.made(request, version))
            .collect()
    }

    fn made(&mut self, request: RequestId, version: Option<Version>) -> Reply {
        if let Some(version) = version {
            self.held.insert(request, version);
        }
        let result = ClaimResult::Made;
        Reply { request, result }
    }

    /// Splits off the operation that stood in the way; the others go into the next commit.
    fn conflicted(&mut self, tasks: Vec<Task>, op: usize) {
        let known = op < tasks.len();
        for (place, mut task) in tasks.into_iter().enumerate().rev() {
            if place == op || !known {
                task.known = Known::Nothing;
            }
            self.put_back(task);
        }
    }

    fn put_back(&mut self, task: Task) {
        if task.is_claim() {
            self.claims.push_front(task);
        } else {
            self.closings.push_front(task);
        }
    }

    fn failed(&mut self, tasks: Vec<Task>, error: &StoreError, now: Mono) -> Vec<Reply> {
        self.outage.failed(now);
        log::warn!(error:% = error; "failed to reach the key-value service for claims");
        let hopeless = matches!(error, StoreError::Invalid { .. });
        if hopeless && tasks.len() == 1 {
            return self.abandon(tasks, now);
        }
        if hopeless {
            // One at a time from now on, until the order that is at fault has been found.
            self.group = 1;
        }
        for mut task in tasks.into_iter().rev() {
            if !matches!(error, StoreError::Unavailable { .. }) {
                task.uncertain = true;
                task.known = Known::Nothing;
            }
            self.put_back(task);
        }
        Vec::new()
    }

    /// Drops an order that the service will never take.
    fn abandon(&mut self, tasks: Vec<Task>, now: Mono) -> Vec<Reply> {
        self.counts.dropped += 1;
        let claims = tasks.into_iter().filter(Task::is_claim);
        let requests: Vec<RequestId> = claims.map(|task| task.order.request).collect();
        let turn_away = |request| self.turn_away(request, now);
        requests.into_iter().map(turn_away).collect()
    }

    fn read_back(&mut self, tasks: Vec<Task>, entry: Option<&Entry>, at: UnixMillis) -> Vec<Reply> {
        let stale = self.limits.stale_after;
        let mut replies = Vec::new();
        for mut task in tasks {
            let request = task.order.request;
            match task.judge(entry, at, stale) {
                Next::Write => self.put_back(task),
                Next::Answer(result) => replies.push(Reply { request, result }),
                Next::Held(version) => replies.push(self.made(request, Some(version))),
                Next::Drop => {}
            }
        }
        replies
    }

    /// Makes at most one call and returns the replies that are due.
    pub fn step(&mut self, store: &dyn Store, clock: &dyn Clock) -> Vec<Reply> {
        let mut replies = self.expire(clock.now());
        let Some(call) = self.plan(clock.now(), unix_millis(clock)) else {
            return replies;
        };
        let result = match &call {
            Call::Get(key) => CallResult::Got(store.get(key)),
            Call::Commit(ops) => CallResult::Committed(store.commit(ops)),
        };
        replies.extend(self.answered(result, clock.now(), unix_millis(clock)));
        replies
    }

    /// Writes what still waits, without gathering any longer, as long as the service answers.
    ///
    /// For the end of a process; returns how many orders were left unwritten.
    pub fn finish(&mut self, store: &dyn Store, clock: &dyn Clock) -> usize {
        self.limits.window = Duration::ZERO;
        while self.waiting() > 0 && self.outage.blocked(clock.now()).is_none() {
            let calls = self.counts.commits + self.counts.reads;
            self.step(store, clock);
            if self.counts.commits + self.counts.reads == calls {
                // A call that somebody else has planned is still under way.
                break;
            }
        }
        self.waiting()
    }
}

/// Takes tasks that can be written, each key once, in the order in which they came.
fn take_ready(queue: &mut VecDeque<Task>, room: usize, keys: &mut HashSet<Key>) -> Vec<Task> {
    let mut taken = Vec::new();
    let mut rest = VecDeque::with_capacity(queue.len());
    for task in take(queue) {
        let ready = task.known != Known::Nothing;
        if taken.len() < room && ready && keys.insert(task.key.clone()) {
            taken.push(task);
        } else {
            rest.push_back(task);
        }
    }
    *queue = rest;
    taken
}

fn unix_millis(clock: &dyn Clock) -> UnixMillis {
    let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis::try_from(since.as_millis()).unwrap_or(UnixMillis::MAX)
}
