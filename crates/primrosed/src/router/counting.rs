//! The threads that count the day, and the handing on of what they counted.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::bounded;
use crossbeam_channel::Receiver;
use primrose_report::calendar::Calendar;
use primrose_report::gather::Gatherer;
use primrose_report::recorder::Recorder;
use primrose_settings::Settings;

use crate::duty::gather;
use crate::duty::gather::Gather;
use crate::duty::report::Report;
use crate::input::Input;
use crate::reporter::ReportInput;
use crate::router::spawn;
use crate::router::Environment;
use crate::router::Router;
use crate::router::RouterError;

/// Longest wait at a shutdown until what was counted is written.
const HAND_ON_TIME: Duration = Duration::from_secs(3);

impl Router {
    /// Starts the threads that count the day and hand it on.
    pub(super) fn start_report(
        &mut self,
        settings: &Settings,
        environment: &Environment,
        calendar: Calendar,
        seen: Receiver<ReportInput>,
    ) -> Result<(), RouterError> {
        let zone = &settings.router.zone;
        let prefix = &settings.platform.prefix;
        let (jobs, todo) = bounded(gather::RING);
        let gather = Gather {
            prefix: prefix.clone(),
            zone: zone.clone(),
            store: Arc::clone(&environment.store),
            clock: Arc::clone(&environment.clock),
            reporter: self.reporter.clone(),
        };
        drop(spawn("gather", move || gather.run(&todo))?);
        let report = Report {
            me: self.me.clone(),
            recorder: Recorder::new(self.me.clone(), zone, calendar),
            gatherer: Gatherer::new(prefix, zone),
            clock: Arc::clone(&environment.clock),
            reporter: self.reporter.clone(),
            endpoint: Arc::clone(&self.endpoint),
            jobs,
        };
        self.spawn("report", move || report.run(&seen))
    }

    /// Waits until what was counted is handed on, or that takes too long.
    pub(super) fn hand_on(&self) {
        let (reply, written) = bounded(1);
        let _ = self.ring.send(Input::Finish(reply));
        if written.recv_timeout(HAND_ON_TIME).is_err() {
            log::warn!("the last figures of the day were not written in time");
        }
    }
}
