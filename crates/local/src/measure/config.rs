//! Time from an accepted edit of the tables until it is in force on every router.
//!
//! An edit counts as accepted when the key-value service has applied it, and as in force on a
//! router when that router's operator listener first shows its generation. The listeners are asked
//! in turn all the time, so a time is at most one round of questions too long.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Generation;

use crate::deployment::Deployment;
use crate::measure::fairness::percentile;
use crate::measure::figure::Figure;
use crate::measure::figure::Target;
use crate::measure::Result;
use crate::shape::Shape;

/// Longest time until an edit is in force everywhere, in milliseconds.
const IN_FORCE_MS: f64 = 2000.0;
/// Edits with everything up, and with one router cut off.
const EDITS: u64 = 15;
/// Edits right after which the platform goes down.
const OUTAGES: u64 = 5;
/// How long the platform is down.
const OUTAGE: Duration = Duration::from_secs(3);
/// Time until watches wait again.
const PAUSE: Duration = Duration::from_millis(700);
/// Longest wait for an edit to be in force.
const LIMIT: Duration = Duration::from_secs(60);

/// Measures edits of one deployment: undisturbed, beside a router that is cut off, and before an
/// outage.
///
/// An edit that no router has read before the service goes down can only come from the service,
/// so its time is counted from the end of the outage.
pub fn config(name: &str, shape: &Shape) -> Result<Vec<Figure>> {
    let deployment = Deployment::start(shape.clone())?;
    let mut editor = Editor {
        deployment: &deployment,
        generation: 1,
    };
    let mut figures = Vec::new();
    let calm = editor.series(EDITS, Editor::edit)?;
    let limit = Target::AtMost(IN_FORCE_MS);
    figures.extend(pair(name, "all up", calm, limit));

    deployment.cut_off(0, true);
    let cut = editor.series(EDITS, Editor::edit)?;
    deployment.cut_off(0, false);
    figures.extend(pair(name, "one router cut off", cut, limit));

    let down = editor.series(OUTAGES, Editor::edit_then_outage)?;
    let after = down.iter().map(|time| time.saturating_sub(OUTAGE));
    let after = after.collect();
    figures.extend(pair(name, "platform down, from write", down, Target::None));
    figures.extend(pair(name, "from the outage's end", after, limit));
    Ok(figures)
}

/// Makes edits and times them.
struct Editor<'a> {
    deployment: &'a Deployment,
    generation: Generation,
}

impl Editor<'_> {
    fn series(
        &mut self,
        count: u64,
        edit: impl Fn(&mut Self) -> Result<Duration>,
    ) -> Result<Vec<Duration>> {
        let mut times = Vec::new();
        for _ in 0..count {
            std::thread::sleep(PAUSE);
            times.push(edit(self)?);
        }
        Ok(times)
    }

    /// Edits, and returns the time until the edit is in force on the last router.
    fn edit(&mut self) -> Result<Duration> {
        let accepted = self.accept()?;
        self.in_force(accepted)
    }

    /// Edits, and takes the platform away as soon as the edit was accepted.
    fn edit_then_outage(&mut self) -> Result<Duration> {
        let accepted = self.accept()?;
        let kv = self.deployment.kv();
        kv.stop();
        let time = std::thread::scope(|scope| {
            let restart = scope.spawn(|| {
                std::thread::sleep(OUTAGE);
                kv.restart()
            });
            let time = self.in_force(accepted);
            let restarted = restart.join().expect("the restart does not panic");
            restarted?;
            time
        })?;
        let learned = if time < OUTAGE { "before" } else { "after" };
        println!("# in force {learned} the end of the outage: {time:?}");
        Ok(time)
    }

    fn accept(&mut self) -> Result<Mono> {
        self.generation += 1;
        self.deployment.edit_tables(self.generation)?;
        Ok(self.deployment.clock().now())
    }

    fn in_force(&self, accepted: Mono) -> Result<Duration> {
        let deployment = self.deployment;
        for place in 0..deployment.places() {
            let what = format!("generation {} is in force", self.generation);
            deployment.wait(&what, LIMIT, |deployment| {
                generation(deployment, place) >= Some(self.generation)
            })?;
        }
        Ok(deployment.clock().now().saturating_sub(accepted))
    }
}

/// Generation of the tables that a router shows.
fn generation(deployment: &Deployment, place: usize) -> Option<Generation> {
    deployment.status(place)?["tables"]["header"]["generation"].as_u64()
}

fn pair(name: &str, case: &str, mut times: Vec<Duration>, limit: Target) -> Vec<Figure> {
    let shown = [(50, "p50", Target::None), (100, "max", limit)];
    let figure = |(percent, label, target)| {
        let time = percentile(&mut times, percent).as_secs_f64() * 1000.0;
        Figure::new(
            format!("{name} edit in force everywhere, {case}, {label}"),
            time,
            "ms",
            target,
        )
    };
    shown.into_iter().map(figure).collect()
}
