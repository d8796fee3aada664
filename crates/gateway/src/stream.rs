//! Forwards a stream to the caller event by event, and resumes it on another server if it breaks
//! off.

use bytes::Bytes;
use http_body_util::BodyExt;
use primrose_fleet::AttemptOutcome;
use tokio::sync::mpsc;

use crate::attempt;
use crate::attempt::Failure;
use crate::attempt::StreamSource;
use crate::attempt::StreamStart;
use crate::body::Chunk;
use crate::body::Interrupted;
use crate::guard::PlacementGuard;
use crate::job::Job;
use crate::split::Splitter;

type ChunkSender = mpsc::Sender<Chunk>;

/// Outcome of a stream that no server resumed.
const INTERRUPTED: &str = "broken_off";

/// Result of reading from a stream once.
enum Step {
    Events(Bytes),
    /// Data that completes no event.
    Partial,
    End,
    CallerLeft,
    DeadlineExceeded,
    Failed(Failure),
}

/// Forwards a stream to its end.
pub(crate) async fn forward(
    mut job: Job,
    guard: PlacementGuard,
    start: Box<StreamStart>,
    chunks: ChunkSender,
) {
    let status = start.head().status;
    let StreamStart {
        first_events,
        source,
        ..
    } = *start;
    if chunks.send(Ok(first_events)).await.is_err() {
        job.log_answered(Some(&guard.placement), status, "caller_left");
        return;
    }
    let mut current = Ok((guard, source));
    let mut outcome = "whole";
    while let Ok((mut guard, mut source)) = current {
        match forward_events(&job, &mut guard, &mut source, &chunks).await {
            Step::End => {
                job.log_answered(Some(&guard.placement), status, outcome);
                let StreamSource { sender, idle, .. } = source;
                job.shared
                    .server_connections
                    .release(guard.placement.addr, sender, Some(idle));
                guard.finish(AttemptOutcome::Good);
                return;
            }
            Step::CallerLeft => {
                job.log_answered(Some(&guard.placement), status, "caller_left");
                return;
            }
            Step::DeadlineExceeded => {
                job.log_answered(Some(&guard.placement), status, "time_over");
                abort(&chunks).await;
                return;
            }
            Step::Failed(failure) => {
                outcome = "resumed";
                let last_event_id = source.splitter.last_event_id();
                // Closing the connection first keeps two servers from running one request at once.
                drop(source);
                current = resume(&mut job, guard, failure, last_event_id, &chunks).await;
            }
            Step::Events(_) | Step::Partial => unreachable!("handled by forward_events"),
        }
    }
    job.log_answered(None, status, current.err().unwrap_or(INTERRUPTED));
    abort(&chunks).await;
}

async fn forward_events(
    job: &Job,
    guard: &mut PlacementGuard,
    source: &mut StreamSource,
    chunks: &ChunkSender,
) -> Step {
    loop {
        match next_step(job, guard, source, chunks).await {
            Step::Events(events) => {
                guard.record_first_event();
                if chunks.send(Ok(events)).await.is_err() {
                    return Step::CallerLeft;
                }
            }
            Step::Partial => {}
            other => return other,
        }
    }
}

async fn next_step(
    job: &Job,
    guard: &PlacementGuard,
    source: &mut StreamSource,
    chunks: &ChunkSender,
) -> Step {
    let began = job.shared.now();
    let frame = tokio::select! {
        biased;
        () = chunks.closed() => return Step::CallerLeft,
        frame = source.body.frame() => frame,
        () = tokio::time::sleep(job.remaining()) => return Step::DeadlineExceeded,
        () = attempt::wait_for_silence(job, guard, began) => {
            return Step::Failed(Failure::maybe_run(
                AttemptOutcome::Unreachable,
                "the server is silent",
            ));
        }
    };
    let data = match frame {
        None if source.splitter.has_partial_event() => {
            return Step::Failed(Failure::maybe_run(
                AttemptOutcome::Broken,
                "the stream ended within an event",
            ));
        }
        None => return Step::End,
        Some(Err(error)) => {
            return Step::Failed(Failure::maybe_run(
                AttemptOutcome::Broken,
                error.to_string(),
            ))
        }
        Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
    };
    guard.record_activity();
    match source.splitter.push(&data) {
        Some(events) => Step::Events(events),
        None if source.splitter.is_partial_too_long() => Step::Failed(Failure::maybe_run(
            AttemptOutcome::Failed,
            "an event is too long",
        )),
        None => Step::Partial,
    }
}

/// Finds a server that resumes the stream after the last event. Returns the outcome of the stream
/// as the error if there is none.
async fn resume(
    job: &mut Job,
    guard: PlacementGuard,
    failure: Failure,
    last_event_id: Option<u64>,
    chunks: &ChunkSender,
) -> Result<(PlacementGuard, StreamSource), &'static str> {
    let mut placement = guard.placement.clone();
    guard.finish(failure.outcome);
    let mut failure = failure;
    loop {
        if !job.record_failure(&placement, &failure) || last_event_id.is_none() {
            return Err(INTERRUPTED);
        }
        let new_placement = job.decide().map_err(|refusal| {
            job.log_not_resumed(refusal);
            INTERRUPTED
        })?;
        let guard = PlacementGuard::new(&job.shared, &job.request, new_placement);
        let sent = tokio::select! {
            biased;
            () = chunks.closed() => return Err("caller_left"),
            sent = attempt::send(job, &guard, last_event_id) => sent,
        };
        match sent {
            Ok(answer) if answer.response.status().is_success() => {
                let (head, body) = answer.response.into_parts();
                let source = StreamSource {
                    body,
                    splitter: Splitter::starting_after(last_event_id),
                    sender: answer.sender,
                    idle: attempt::idle_time(&head),
                };
                return Ok((guard, source));
            }
            Ok(answer) => {
                let status = answer.response.status();
                failure = Failure::maybe_run(
                    AttemptOutcome::Failed,
                    format!("the server answered {status}"),
                );
            }
            Err(failed) => failure = failed,
        }
        placement = guard.placement.clone();
        guard.finish(failure.outcome);
    }
}

/// Ends the response such that the caller sees that it is incomplete.
async fn abort(chunks: &ChunkSender) {
    // Sending fails only if the caller has disconnected.
    let _ = chunks.send(Err(Interrupted)).await;
}
