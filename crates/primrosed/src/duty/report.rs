//! The report thread: records the observations of this router and sends them to the zone's gatherer.
//!
//! It owns the router's [`Recorder`] and an [`Aggregator`], which is idle unless this router holds the
//! gather duty of its zone. Calls to the key-value service are made by the
//! [gather](crate::duty::gather) thread, so that a slow service does not delay the recording.

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
use primrose_report::aggregator::Aggregator;
use primrose_report::aggregator::Event;
use primrose_report::calendar::DayId;
use primrose_report::observation::Observation;
use primrose_report::observation::Outage;
use primrose_report::record::Record;
use primrose_report::record::Seq;
use primrose_report::recorder::Recorder;
use primrose_report::zone::report_period;

use crate::duty::gather::Job;
use crate::message::PeerMessage;
use crate::message::RecordId;
use crate::reporter::DaySnapshot;
use crate::reporter::FleetSnapshot;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;

/// Interval of the periodic work.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum length of a reported outage; a broken connection is restored sooner.
const MIN_OUTAGE: Duration = Duration::from_secs(5);
/// Maximum time between two rounds that counts as observed; a longer gap means that the process
/// was paused.
const MAX_ROUND_GAP: Duration = Duration::from_secs(5);

/// Time at which an outage was detected.
#[derive(Debug, Clone, Copy)]
struct OutageStart {
    wall: SystemTime,
    mono: Mono,
}

/// Resources of the report thread.
pub(crate) struct ReportThread {
    pub(crate) me: Member,
    pub(crate) recorder: Recorder,
    pub(crate) gatherer: Aggregator,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) reporter: Reporter,
    pub(crate) endpoint: Arc<Endpoint<PeerMessage>>,
    pub(crate) jobs: Sender<Job>,
}

/// State of the report thread between inputs.
struct State {
    thread: ReportThread,
    fleet: FleetSnapshot,
    outages: BTreeMap<Outage, OutageStart>,
    traffic: Traffic,
    /// Last sequence number of each day's record that was sent to the current gatherer.
    sent: BTreeMap<DayId, Seq>,
    next_send: Mono,
    last_round: Mono,
    /// Observed time that is not reported yet because it is less than a whole second.
    unreported_time: Duration,
    /// Where to reply once the final write is done.
    finishing: Option<Sender<()>>,
    /// Records that were sent at shutdown and are not acknowledged by the gatherer.
    unacknowledged: BTreeSet<RecordId>,
    /// Whether the final write has been attempted.
    write_attempted: bool,
}

impl ReportThread {
    /// Runs until [`ReportInput::Stop`].
    pub(crate) fn run(self, inputs: &Receiver<ReportInput>) {
        let now = self.clock.now();
        let mut state = State {
            thread: self,
            fleet: FleetSnapshot::default(),
            outages: BTreeMap::new(),
            traffic: Traffic::default(),
            sent: BTreeMap::new(),
            next_send: now,
            last_round: now,
            unreported_time: Duration::ZERO,
            finishing: None,
            unacknowledged: BTreeSet::new(),
            write_attempted: false,
        };
        let rounds = tick(ROUND_INTERVAL);
        loop {
            crossbeam_channel::select! {
                recv(rounds) -> _ => state.run_round(),
                recv(inputs) -> input => match input {
                    Ok(ReportInput::Stop) | Err(_) => return,
                    Ok(input) => state.handle(input),
                },
            }
        }
    }
}

impl State {
    fn handle(&mut self, input: ReportInput) {
        match input {
            ReportInput::Observed(wall, observations) => {
                for observation in &observations {
                    self.thread.recorder.observe(wall, observation);
                }
            }
            ReportInput::Fleet(fleet) => self.set_fleet(fleet),
            ReportInput::Platform(answers) => self.set_outage(Outage::Platform, !answers),
            ReportInput::Record(record) => self.gather_event(Event::Report(record)),
            ReportInput::Departed(member) => self.gather_event(Event::Removed(member)),
            ReportInput::Gathered(event) => self.gather_event(event),
            ReportInput::Day(day, reply) => {
                // Fails if the operator request has timed out.
                let _ = reply.try_send(self.day(&day));
            }
            ReportInput::RecordAck(id) => {
                self.unacknowledged.remove(&id);
                self.reply_if_done(false);
            }
            ReportInput::Finish(reply) => self.finish(reply),
            ReportInput::Written(written) => {
                self.write_attempted = true;
                self.reply_if_done(written);
            }
            ReportInput::Stop => {}
        }
    }

    /// Records periodic counters, and sends records to the gatherer when that is due.
    fn run_round(&mut self) {
        let now = self.thread.clock.now();
        self.count_time(now);
        self.count_traffic();
        self.count_outages(now);
        if now >= self.next_send {
            self.send_changed(now);
        }
        self.gather_event(Event::Tick);
    }

    /// Records the time since the last round as observed, unless observations were dropped or the
    /// process was paused.
    fn count_time(&mut self, now: Mono) {
        let elapsed = now.saturating_sub(self.last_round);
        self.last_round = now;
        let observations = self.thread.reporter.take_dropped();
        if observations > 0 {
            log::warn!(observations; "the report channel was full; observations were dropped");
            self.observe(&Observation::Lost { observations });
        } else if elapsed <= MAX_ROUND_GAP {
            self.unreported_time += elapsed;
        }
        let span = Duration::from_secs(self.unreported_time.as_secs());
        if !span.is_zero() {
            self.unreported_time -= span;
            self.observe(&Observation::Alive { span });
        }
    }

    fn count_traffic(&mut self) {
        let total = self.thread.endpoint.stats().total;
        let last = std::mem::replace(&mut self.traffic, total);
        let bytes = |traffic: &Traffic| traffic.bytes_in + traffic.bytes_out;
        let messages = |traffic: &Traffic| traffic.messages_in + traffic.messages_out;
        self.observe(&Observation::Control {
            bytes: bytes(&total).saturating_sub(bytes(&last)),
            messages: messages(&total).saturating_sub(messages(&last)),
        });
    }

    fn count_outages(&mut self, now: Mono) {
        let long_outages = self.outages.iter().filter_map(|(outage, start)| {
            let span = now.saturating_sub(start.mono);
            (span >= MIN_OUTAGE).then(|| Observation::Outage {
                outage: outage.clone(),
                began: start.wall,
                span,
            })
        });
        let long_outages: Vec<Observation> = long_outages.collect();
        long_outages.iter().for_each(|outage| self.observe(outage));
    }

    fn set_outage(&mut self, outage: Outage, is_ongoing: bool) {
        if !is_ongoing {
            self.outages.remove(&outage);
            return;
        }
        let clock = &self.thread.clock;
        let start = || OutageStart {
            wall: clock.wall(),
            mono: clock.now(),
        };
        self.outages.entry(outage).or_insert_with(start);
    }

    fn observe(&mut self, observation: &Observation) {
        let wall = self.thread.clock.wall();
        self.thread.recorder.observe(wall, observation);
    }

    fn set_fleet(&mut self, fleet: FleetSnapshot) {
        for zone in &fleet.zones {
            let is_ongoing = fleet.unreachable.contains(zone);
            self.set_outage(Outage::Zone(zone.clone()), is_ongoing);
        }
        let changed = fleet.gatherer != self.fleet.gatherer;
        self.fleet = fleet;
        if changed {
            self.change_gatherer();
        }
    }

    /// Sends all records that are known here to a new gatherer.
    fn change_gatherer(&mut self) {
        let is_mine = self.fleet.gatherer.as_ref() == Some(&self.thread.me);
        self.gather_event(Event::Duty(is_mine));
        self.sent.clear();
        for record in self.gathered_records() {
            self.send_record(record);
        }
        self.send_changed(self.thread.clock.now());
    }

    /// Returns the records gathered here, for the days that this router has records of.
    fn gathered_records(&self) -> Vec<Record> {
        let days = self.thread.recorder.records().iter().map(|one| &one.day);
        let records = days.flat_map(|day| self.thread.gatherer.records(day));
        records.cloned().collect()
    }

    /// Sends this router's records that have changed.
    fn send_changed(&mut self, now: Mono) {
        let records = self.thread.recorder.records();
        let sizes = records.iter().map(Record::encoded_len);
        self.next_send = now + report_period(sizes.max().unwrap_or(0));
        let is_new = |record: &&Record| self.sent.get(&record.day) != Some(&record.seq);
        let changed: Vec<Record> = records.iter().filter(is_new).cloned().collect();
        for record in changed {
            self.sent.insert(record.day.clone(), record.seq);
            self.send_record(record);
        }
        let is_kept = |day: &DayId| {
            let mut records = self.thread.recorder.records().iter();
            records.any(|record| record.day == *day)
        };
        self.sent.retain(|day, _| is_kept(day));
    }

    /// Sends a record to the gatherer, which may be this router.
    fn send_record(&mut self, record: Record) {
        let Some(gatherer) = self.fleet.gatherer.clone() else {
            return;
        };
        let record = Box::new(record);
        if gatherer == self.thread.me {
            self.gather_event(Event::Report(record));
            return;
        }
        let message = PeerMessage::Record(record);
        if let Err(error) = self.thread.endpoint.send(&gatherer.host, &message) {
            log::debug!("failed to send a record to the gatherer: {error}");
            self.sent.clear();
        }
    }

    /// Passes an event to the gatherer, and its actions to the gather thread.
    fn gather_event(&mut self, event: Event) {
        let now = self.thread.clock.now();
        for action in self.thread.gatherer.decide(event, now) {
            // If the channel is full, the gatherer repeats the action when no result arrives.
            let _ = self.thread.jobs.try_send(Job::Do(action));
        }
    }

    fn day(&self, day: &str) -> DaySnapshot {
        let own = self.thread.recorder.records().iter();
        let own = own.filter(|record| record.day == day);
        let gathered = self.thread.gatherer.records(day);
        DaySnapshot {
            records: own.chain(gathered).cloned().collect(),
            fleet: self.fleet.clone(),
        }
    }

    /// Sends all records to the gatherer, if it is another router, and writes them to the service.
    fn finish(&mut self, reply: Sender<()>) {
        self.run_round();
        let own = self.thread.recorder.records().to_vec();
        let mut records = own;
        records.extend(self.gathered_records());
        let gatherer = self.fleet.gatherer.as_ref();
        if gatherer.is_some_and(|gatherer| *gatherer != self.thread.me) {
            self.unacknowledged = records.iter().map(RecordId::new).collect();
            records
                .iter()
                .for_each(|record| self.send_record(record.clone()));
        }
        self.finishing = Some(reply);
        if let Err(error) = self.thread.jobs.try_send(Job::Finish(records)) {
            log::warn!("failed to write the day's records at shutdown: {error}");
            self.write_attempted = true;
            self.reply_if_done(false);
        }
    }

    /// Replies once the records are written, or acknowledged by the gatherer if the write failed.
    fn reply_if_done(&mut self, written: bool) {
        if written || (self.write_attempted && self.unacknowledged.is_empty()) {
            if let Some(reply) = self.finishing.take() {
                // Fails if the shutdown has stopped waiting.
                let _ = reply.try_send(());
            }
        }
    }
}
