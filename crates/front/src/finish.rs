//! Replays stored answers, and records metrics of finished requests.

use http::Response;
use primrose_core::id::RequestId;
use primrose_core::outcome::Outcome;

use crate::broker::Ended;
use crate::broker::StoredAnswer;
use crate::caller::Caller;
use crate::caller::Head;
use crate::reply;

/// Status for a repeated request whose answer was too large to store.
const NO_CONTENT: u16 = 204;

/// Answers a repeated request with the stored answer of its first run.
pub(crate) fn answer_stored(caller: &mut Caller, id: RequestId, stored: StoredAnswer) {
    let Some(body) = stored.body else {
        let mut response = Response::new(reply::full_body(""));
        *response.status_mut() =
            http::StatusCode::from_u16(NO_CONTENT).expect("the constant is a valid status");
        reply::set_outcome_headers(&mut response, id, Outcome::Done);
        caller.answer(response);
        return;
    };
    let head = Head {
        status: stored.status,
        media_type: stored.content_type,
    };
    caller.answer_whole(id, &head, body);
}

/// Records the metrics of a finished request.
pub(crate) fn record_metrics(ended: &Ended) {
    let code = match ended.code {
        Some(code) => code.to_string(),
        None => "none".to_owned(),
    };
    metrics::counter!(
        "primrose_requests_total",
        "pool" => ended.pool.clone(),
        "outcome" => ended.outcome.to_string(),
        "code" => code,
    )
    .increment(1);
    metrics::histogram!("primrose_request_seconds").record(ended.took.as_secs_f64());
}
