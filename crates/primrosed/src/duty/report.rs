//! The report thread: counts what this router sees and hands it on to the zone's gatherer.
//!
//! It holds the router's [`Recorder`] and a [`Gatherer`], which is idle unless the zone's duty is
//! here. Calls at the key-value service are made by the [gather](crate::duty::gather) thread, so
//! that a slow service does not hold up the counting.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use crossbeam_channel::tick;
use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::Member;
use primrose_link::Endpoint;
use primrose_link::Traffic;
use primrose_report::calendar::DayId;
use primrose_report::gather::Event;
use primrose_report::gather::Gatherer;
use primrose_report::observation::Observation;
use primrose_report::observation::Outage;
use primrose_report::record::Record;
use primrose_report::record::Seq;
use primrose_report::recorder::Recorder;
use primrose_report::zone::period;

use crate::duty::gather::Job;
use crate::message::PeerMessage;
use crate::message::RecordId;
use crate::reporter::DaySight;
use crate::reporter::FleetSight;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;

/// Time between two looks at counters and duties.
const ROUND: Duration = Duration::from_secs(1);
/// Length of the shortest outage that is told: a connection that breaks is back sooner.
const OUTAGE_NOTICE: Duration = Duration::from_secs(5);
/// Longest time between two rounds that still counts as seen; a paused process saw nothing.
const LONGEST_ROUND: Duration = Duration::from_secs(5);

/// When something was found to be out of reach.
#[derive(Debug, Clone, Copy)]
struct Began {
    wall: SystemTime,
    mono: Mono,
}

/// The report duty of one router.
pub(crate) struct Report {
    pub(crate) me: Member,
    pub(crate) recorder: Recorder,
    pub(crate) gatherer: Gatherer,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) reporter: Reporter,
    pub(crate) endpoint: Arc<Endpoint<PeerMessage>>,
    pub(crate) jobs: Sender<Job>,
}

/// What the thread keeps between inputs.
struct State {
    duty: Report,
    fleet: FleetSight,
    outages: BTreeMap<Outage, Began>,
    traffic: Traffic,
    /// Number up to which each day's record was handed on to the present gatherer.
    sent: BTreeMap<DayId, Seq>,
    next_send: Mono,
    last_round: Mono,
    /// Seen, but less than a whole second.
    rest: Duration,
    /// Who waits for the end.
    finishing: Option<Sender<()>>,
    /// Records that the gatherer does not surely hold at the end.
    unheld: BTreeSet<RecordId>,
    /// Whether writing at the end has been tried.
    tried: bool,
}

impl Report {
    /// Runs until told to stop.
    pub(crate) fn run(self, inputs: &Receiver<ReportInput>) {
        let now = self.clock.now();
        let mut state = State {
            duty: self,
            fleet: FleetSight::default(),
            outages: BTreeMap::new(),
            traffic: Traffic::default(),
            sent: BTreeMap::new(),
            next_send: now,
            last_round: now,
            rest: Duration::ZERO,
            finishing: None,
            unheld: BTreeSet::new(),
            tried: false,
        };
        let rounds = tick(ROUND);
        loop {
            crossbeam_channel::select! {
                recv(rounds) -> _ => state.round(),
                recv(inputs) -> input => match input {
                    Ok(ReportInput::Stop) | Err(_) => return,
                    Ok(input) => state.take(input),
                },
            }
        }
    }
}

impl State {
    fn take(&mut self, input: ReportInput) {
        match input {
            ReportInput::Seen(wall, seen) => {
                for observation in &seen {
                    self.duty.recorder.observe(wall, observation);
                }
            }
            ReportInput::Fleet(fleet) => self.take_fleet(fleet),
            ReportInput::Platform(answers) => self.set_outage(Outage::Platform, !answers),
            ReportInput::Record(record) => self.gather(Event::Report(record)),
            ReportInput::Gone(member) => self.gather(Event::Gone(member)),
            ReportInput::Gathered(event) => self.gather(event),
            ReportInput::Day(day, reply) => {
                // An operator that has given up needs no answer.
                let _ = reply.try_send(self.day(&day));
            }
            ReportInput::Held(name) => {
                self.unheld.remove(&name);
                self.answer_if_done(false);
            }
            ReportInput::Finish(reply) => self.finish(reply),
            ReportInput::Written(written) => {
                self.tried = true;
                self.answer_if_done(written);
            }
            ReportInput::Stop => {}
        }
    }

    /// Counts what is read from time to time, and hands records on when that is due.
    fn round(&mut self) {
        let now = self.duty.clock.now();
        self.count_time(now);
        self.count_traffic();
        self.count_outages(now);
        if now >= self.next_send {
            self.hand_on(now);
        }
        self.gather(Event::Tick);
    }

    /// Counts the time since the last round, unless something in it went uncounted.
    fn count_time(&mut self, now: Mono) {
        let passed = now.saturating_sub(self.last_round);
        self.last_round = now;
        let observations = self.duty.reporter.take_lost();
        if observations > 0 {
            log::warn!(observations; "the report ring was full; observations were not counted");
            self.observe(&Observation::Lost { observations });
        } else if passed <= LONGEST_ROUND {
            self.rest += passed;
        }
        let span = Duration::from_secs(self.rest.as_secs());
        if !span.is_zero() {
            self.rest -= span;
            self.observe(&Observation::Alive { span });
        }
    }

    fn count_traffic(&mut self) {
        let total = self.duty.endpoint.stats().total;
        let last = std::mem::replace(&mut self.traffic, total);
        let bytes = |traffic: &Traffic| traffic.bytes_in + traffic.bytes_out;
        let messages = |traffic: &Traffic| traffic.messages_in + traffic.messages_out;
        self.observe(&Observation::Control {
            bytes: bytes(&total).saturating_sub(bytes(&last)),
            messages: messages(&total).saturating_sub(messages(&last)),
        });
    }

    fn count_outages(&mut self, now: Mono) {
        let lasting = self.outages.iter().filter_map(|(outage, began)| {
            let span = now.saturating_sub(began.mono);
            (span >= OUTAGE_NOTICE).then(|| Observation::Outage {
                outage: outage.clone(),
                began: began.wall,
                span,
            })
        });
        let lasting: Vec<Observation> = lasting.collect();
        lasting.iter().for_each(|outage| self.observe(outage));
    }

    fn set_outage(&mut self, outage: Outage, lasts: bool) {
        if !lasts {
            self.outages.remove(&outage);
            return;
        }
        let clock = &self.duty.clock;
        let began = || Began {
            wall: clock.wall(),
            mono: clock.now(),
        };
        self.outages.entry(outage).or_insert_with(began);
    }

    fn observe(&mut self, observation: &Observation) {
        let wall = self.duty.clock.wall();
        self.duty.recorder.observe(wall, observation);
    }

    fn take_fleet(&mut self, fleet: FleetSight) {
        for zone in &fleet.zones {
            let lasts = fleet.unreachable.contains(zone);
            self.set_outage(Outage::Zone(zone.clone()), lasts);
        }
        let changed = fleet.gatherer != self.fleet.gatherer;
        self.fleet = fleet;
        if changed {
            self.change_gatherer();
        }
    }

    /// Tells a new gatherer everything that is known here.
    fn change_gatherer(&mut self) {
        let mine = self.fleet.gatherer.as_ref() == Some(&self.duty.me);
        self.gather(Event::Duty(mine));
        self.sent.clear();
        for record in self.gathered() {
            self.send(record);
        }
        self.hand_on(self.duty.clock.now());
    }

    /// Records that were gathered here, of the days that this router counted.
    fn gathered(&self) -> Vec<Record> {
        let days = self.duty.recorder.records().iter().map(|one| &one.day);
        let records = days.flat_map(|day| self.duty.gatherer.records(day));
        records.cloned().collect()
    }

    /// Hands on this router's records that have changed.
    fn hand_on(&mut self, now: Mono) {
        let records = self.duty.recorder.records();
        let sizes = records.iter().map(Record::encoded_len);
        self.next_send = now + period(sizes.max().unwrap_or(0));
        let is_new = |record: &&Record| self.sent.get(&record.day) != Some(&record.seq);
        let changed: Vec<Record> = records.iter().filter(is_new).cloned().collect();
        for record in changed {
            self.sent.insert(record.day.clone(), record.seq);
            self.send(record);
        }
        let kept = |day: &DayId| {
            let mut records = self.duty.recorder.records().iter();
            records.any(|record| record.day == *day)
        };
        self.sent.retain(|day, _| kept(day));
    }

    /// Sends a record to the gatherer, which may be here.
    fn send(&mut self, record: Record) {
        let Some(gatherer) = self.fleet.gatherer.clone() else {
            return;
        };
        let record = Box::new(record);
        if gatherer == self.duty.me {
            self.gather(Event::Report(record));
            return;
        }
        let message = PeerMessage::Record(record);
        if let Err(error) = self.duty.endpoint.send(&gatherer.host, &message) {
            log::debug!("failed to send a record to the gatherer: {error}");
            self.sent.clear();
        }
    }

    /// Hands an event to the gatherer, and what it wants done to the thread that does it.
    fn gather(&mut self, event: Event) {
        let now = self.duty.clock.now();
        for action in self.duty.gatherer.decide(event, now) {
            // What finds no room is asked for again when its answer does not come.
            let _ = self.duty.jobs.try_send(Job::Do(action));
        }
    }

    fn day(&self, day: &str) -> DaySight {
        let own = self.duty.recorder.records().iter();
        let own = own.filter(|record| record.day == day);
        let gathered = self.duty.gatherer.records(day);
        DaySight {
            records: own.chain(gathered).cloned().collect(),
            fleet: self.fleet.clone(),
        }
    }

    /// Hands everything on for the last time: to a gatherer that stays, and to the service.
    fn finish(&mut self, reply: Sender<()>) {
        self.round();
        let own = self.duty.recorder.records().to_vec();
        let mut records = own;
        records.extend(self.gathered());
        let gatherer = self.fleet.gatherer.as_ref();
        if gatherer.is_some_and(|gatherer| *gatherer != self.duty.me) {
            self.unheld = records.iter().map(RecordId::new).collect();
            records.iter().for_each(|record| self.send(record.clone()));
        }
        self.finishing = Some(reply);
        if let Err(error) = self.duty.jobs.try_send(Job::Finish(records)) {
            log::warn!("failed to write the day's records at the end: {error}");
            self.tried = true;
            self.answer_if_done(false);
        }
    }

    /// Answers once the records are written, or held by the gatherer if they cannot be.
    fn answer_if_done(&mut self, written: bool) {
        if written || (self.tried && self.unheld.is_empty()) {
            if let Some(reply) = self.finishing.take() {
                // A router that has stopped waiting has ended.
                let _ = reply.try_send(());
            }
        }
    }
}
