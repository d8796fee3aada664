//! Starts the threads that keep the day's records, and flushes the records at shutdown.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::bounded;
use crossbeam_channel::Receiver;
use primrose_report::aggregator::Aggregator;
use primrose_report::calendar::Calendar;
use primrose_report::recorder::Recorder;
use primrose_settings::Settings;

use crate::duty::gather;
use crate::duty::gather::GatherThread;
use crate::duty::report::ReportThread;
use crate::input::Input;
use crate::reporter::ReportInput;
use crate::router::spawn;
use crate::router::Environment;
use crate::router::Router;
use crate::router::RouterError;

/// Maximum time that a shutdown waits until the day's records are written.
const FINISH_TIMEOUT: Duration = Duration::from_secs(3);

impl Router {
    /// Starts the threads that keep the day's records and write them.
    pub(super) fn start_report(
        &mut self,
        settings: &Settings,
        environment: &Environment,
        calendar: Calendar,
        report_inputs: Receiver<ReportInput>,
    ) -> Result<(), RouterError> {
        let zone = &settings.router.zone;
        let prefix = &settings.platform.prefix;
        let (jobs, job_receiver) = bounded(gather::QUEUE_CAPACITY);
        let gather = GatherThread {
            prefix: prefix.clone(),
            zone: zone.clone(),
            store: Arc::clone(&environment.store),
            clock: Arc::clone(&environment.clock),
            reporter: self.reporter.clone(),
        };
        drop(spawn("gather", move || gather.run(&job_receiver))?);
        let report = ReportThread {
            me: self.me.clone(),
            recorder: Recorder::new(self.me.clone(), zone, calendar),
            gatherer: Aggregator::new(prefix, zone),
            clock: Arc::clone(&environment.clock),
            reporter: self.reporter.clone(),
            endpoint: Arc::clone(&self.endpoint),
            jobs,
        };
        self.spawn("report", move || report.run(&report_inputs))
    }

    /// Waits until the day's records are written, or the timeout expires.
    pub(super) fn finish_report(&self) {
        let (reply, written) = bounded(1);
        let _ = self.input_sender.send(Input::Finish(reply));
        if written.recv_timeout(FINISH_TIMEOUT).is_err() {
            log::warn!("the last figures of the day were not written in time");
        }
    }
}
