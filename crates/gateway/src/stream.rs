//! Passing a stream on, event by event, and going on at another server where one breaks off.

use bytes::Bytes;
use http_body_util::BodyExt;
use primrose_fleet::AttemptOutcome;
use tokio::sync::mpsc;

use crate::attempt;
use crate::attempt::Failure;
use crate::attempt::Flow;
use crate::attempt::Opened;
use crate::body::Cut;
use crate::body::Part;
use crate::hold::Hold;
use crate::job::Job;
use crate::split::Splitter;

type Parts = mpsc::Sender<Part>;

/// How a stream ended that no server went on with.
const BROKEN_OFF: &str = "broken_off";

/// What happened next in a stream.
enum Next {
    Events(Bytes),
    /// Bytes that complete no event.
    Partial,
    End,
    CallerLeft,
    TimeOver,
    Failed(Failure),
}

/// Passes a stream on to its end.
pub(crate) async fn pump(mut job: Job, hold: Hold, opened: Box<Opened>, parts: Parts) {
    let status = opened.head().status;
    let Opened { first, flow, .. } = *opened;
    if parts.send(Ok(first)).await.is_err() {
        job.log_answered(Some(&hold.placement), status, "caller_left");
        return;
    }
    let mut at = Ok((hold, flow));
    let mut outcome = "whole";
    while let Ok((mut hold, mut flow)) = at {
        match pass(&job, &mut hold, &mut flow, &parts).await {
            Next::End => {
                job.log_answered(Some(&hold.placement), status, outcome);
                let Flow { sender, idle, .. } = flow;
                job.shared
                    .servers
                    .keep(hold.placement.addr, sender, Some(idle));
                hold.end(AttemptOutcome::Good);
                return;
            }
            Next::CallerLeft => {
                job.log_answered(Some(&hold.placement), status, "caller_left");
                return;
            }
            Next::TimeOver => {
                job.log_answered(Some(&hold.placement), status, "time_over");
                cut(&parts).await;
                return;
            }
            Next::Failed(failure) => {
                outcome = "resumed";
                let last = flow.splitter.last();
                // Closing the connection first keeps two servers from working on one request.
                drop(flow);
                at = go_on(&mut job, hold, failure, last, &parts).await;
            }
            Next::Events(_) | Next::Partial => unreachable!("passed on within the loop"),
        }
    }
    job.log_answered(None, status, at.err().unwrap_or(BROKEN_OFF));
    cut(&parts).await;
}

async fn pass(job: &Job, hold: &mut Hold, flow: &mut Flow, parts: &Parts) -> Next {
    loop {
        match next(job, hold, flow, parts).await {
            Next::Events(events) => {
                hold.first_event();
                if parts.send(Ok(events)).await.is_err() {
                    return Next::CallerLeft;
                }
            }
            Next::Partial => {}
            other => return other,
        }
    }
}

async fn next(job: &Job, hold: &Hold, flow: &mut Flow, parts: &Parts) -> Next {
    let began = job.shared.now();
    let frame = tokio::select! {
        biased;
        () = parts.closed() => return Next::CallerLeft,
        frame = flow.body.frame() => frame,
        () = tokio::time::sleep(job.left()) => return Next::TimeOver,
        () = attempt::silence(job, hold, began) => {
            return Next::Failed(Failure::ran(AttemptOutcome::Unreachable, "the server is silent"));
        }
    };
    let data = match frame {
        None if flow.splitter.is_within() => {
            return Next::Failed(Failure::ran(
                AttemptOutcome::Broken,
                "the stream ended within an event",
            ));
        }
        None => return Next::End,
        Some(Err(error)) => {
            return Next::Failed(Failure::ran(AttemptOutcome::Broken, error.to_string()))
        }
        Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
    };
    hold.heard();
    match flow.splitter.push(&data) {
        Some(events) => Next::Events(events),
        None if flow.splitter.is_overlong() => {
            Next::Failed(Failure::ran(AttemptOutcome::Failed, "an event is too long"))
        }
        None => Next::Partial,
    }
}

/// Looks for a server that goes on after the last event; otherwise says how the stream ends.
async fn go_on(
    job: &mut Job,
    hold: Hold,
    failure: Failure,
    last: Option<u64>,
    parts: &Parts,
) -> Result<(Hold, Flow), &'static str> {
    let mut placement = hold.placement.clone();
    hold.end(failure.ended);
    let mut failure = failure;
    loop {
        if !job.goes_on(&placement, &failure) || last.is_none() {
            return Err(BROKEN_OFF);
        }
        let decided = job.decide().map_err(|refusal| {
            job.log_not_resumed(refusal);
            BROKEN_OFF
        })?;
        let hold = Hold::new(&job.shared, &job.request, decided);
        let sent = tokio::select! {
            biased;
            () = parts.closed() => return Err("caller_left"),
            sent = attempt::send(job, &hold, last) => sent,
        };
        match sent {
            Ok(answer) if answer.response.status().is_success() => {
                let (head, body) = answer.response.into_parts();
                let flow = Flow {
                    body,
                    splitter: Splitter::after(last),
                    sender: answer.sender,
                    idle: attempt::idle_time(&head),
                };
                return Ok((hold, flow));
            }
            Ok(answer) => {
                let status = answer.response.status();
                failure = Failure::ran(
                    AttemptOutcome::Failed,
                    format!("the server answered {status}"),
                );
            }
            Err(failed) => failure = failed,
        }
        placement = hold.placement.clone();
        hold.end(failure.ended);
    }
}

/// Breaks the answer off in a way that does not look whole.
async fn cut(parts: &Parts) {
    // A caller that has left needs no sign.
    let _ = parts.send(Err(Cut)).await;
}
