//! One attempt at one server: send, and read up to the answer or its first event.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::header::CONTENT_ENCODING;
use http::header::CONTENT_TYPE;
use http::response;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use primrose_conn::Answer;
use primrose_conn::OutBody as RequestBody;
use primrose_conn::SendError;
use primrose_core::clock::Mono;
use primrose_fleet::AttemptOutcome;

use crate::body::OutBody;
use crate::border::EventId;
use crate::border::Onward;
use crate::hold::Hold;
use crate::job::Job;
use crate::reply::strip_hop_headers;
use crate::split::Splitter;

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Most bytes of an answer that is passed on as a whole.
const WHOLE_BYTES: usize = 8 << 20;
/// How long an idle connection is kept where the server names no time.
const IDLE_TIME: Duration = Duration::from_millis(2_500);
/// How much sooner than the server a connection is given up, since a request may be on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Shortest silence of a server, towards all requests, that makes a repeatable one move on.
const SILENCE: Duration = Duration::from_millis(900);
/// The same as a multiple of the route's objective.
const SILENCE_OBJECTIVES: u32 = 2;
/// How often a waiting request looks whether its server is silent.
const SILENCE_LOOK: Duration = Duration::from_millis(200);

/// Why an attempt brought no answer for the caller.
pub(crate) struct Failure {
    pub(crate) ended: AttemptOutcome,
    pub(crate) may_have_run: bool,
    pub(crate) reason: String,
    /// The server's own failure, which may be passed on unchanged.
    pub(crate) answer: Option<Box<Response<OutBody>>>,
}

impl Failure {
    pub(crate) fn ran(ended: AttemptOutcome, reason: impl Into<String>) -> Self {
        Self {
            ended,
            may_have_run: true,
            reason: reason.into(),
            answer: None,
        }
    }

    fn not_run(ended: AttemptOutcome, reason: impl Into<String>) -> Self {
        Self {
            may_have_run: false,
            ..Self::ran(ended, reason)
        }
    }
}

/// A stream whose first events have come.
pub(crate) struct Opened {
    head: response::Parts,
    pub(crate) first: Bytes,
    pub(crate) flow: Flow,
}

impl Opened {
    /// Head for the caller.
    pub(crate) fn head(&self) -> response::Parts {
        let mut head = self.head.clone();
        strip_hop_headers(&mut head.headers);
        head
    }
}

/// The rest of a stream.
pub(crate) struct Flow {
    pub(crate) body: Incoming,
    pub(crate) splitter: Splitter,
    pub(crate) sender: SendRequest<RequestBody>,
    pub(crate) idle: Duration,
}

/// What an attempt brought.
pub(crate) enum Got {
    Whole(Response<OutBody>),
    Stream(Box<Opened>),
}

/// Why waiting for a server ended without it.
enum Waited {
    TimeOver,
    Silent,
}

impl From<Waited> for Failure {
    fn from(waited: Waited) -> Self {
        match waited {
            Waited::TimeOver => Self::ran(AttemptOutcome::GivenUp, "the request's time is over"),
            Waited::Silent => Self::ran(AttemptOutcome::Unreachable, "the server is silent"),
        }
    }
}

/// Sends a request and reads its answer, or a stream's first events.
pub(crate) async fn answer(job: &Job, hold: &mut Hold) -> Result<Got, Failure> {
    let answer = send(job, hold, job.call.last_event).await?;
    let (head, body) = answer.response.into_parts();
    let idle = idle_time(&head);
    if head.status.is_success() && is_stream(&head) {
        let flow = Flow {
            body,
            splitter: Splitter::after(job.call.last_event),
            sender: answer.sender,
            idle,
        };
        return open(job, hold, head, flow).await;
    }
    let whole = read_whole(job, hold, body).await?;
    let addr = hold.placement.addr;
    job.shared.servers.keep(addr, answer.sender, Some(idle));
    let mut head = head;
    strip_hop_headers(&mut head.headers);
    let status = head.status;
    let response = Response::from_parts(head, OutBody::whole(whole));
    if status.is_server_error() {
        let mut failure = Failure::ran(
            AttemptOutcome::Failed,
            format!("the server answered {status}"),
        );
        failure.answer = Some(Box::new(response));
        return Err(failure);
    }
    Ok(Got::Whole(response))
}

/// Sends a request and checks the head of its answer.
pub(crate) async fn send(
    job: &Job,
    hold: &Hold,
    last_event: Option<EventId>,
) -> Result<Answer, Failure> {
    let servers = &job.shared.servers;
    let addr = hold.placement.addr;
    // A server may close a kept connection just as the request goes out, and then nobody could
    // say whether it ran.
    let fresh = !job.request.route.kind.is_repeatable() && !job.request.route.kind.is_stream();
    let sender = servers.open(addr, fresh).await.map_err(from_send)?;
    let request = build(job, hold, last_event)?;
    let answer = tokio::select! {
        answer = servers.send(addr, sender, request) => answer.map_err(from_send)?,
        waited = wait(job, hold) => return Err(waited.into()),
    };
    hold.heard();
    check(job, answer).await
}

fn from_send(error: SendError) -> Failure {
    match error {
        SendError::BeforeSend { .. } => {
            Failure::not_run(AttemptOutcome::Unreachable, error.to_string())
        }
        SendError::AfterSend { .. } => Failure::ran(AttemptOutcome::Broken, error.to_string()),
    }
}

fn build(
    job: &Job,
    hold: &Hold,
    last_event: Option<EventId>,
) -> Result<Request<RequestBody>, Failure> {
    let onward = Onward {
        server: &hold.placement.server,
        account: job.request.account.as_ref(),
        left: job.left(),
        last_event,
    };
    if onward.left.is_zero() {
        return Err(Failure::not_run(
            AttemptOutcome::GivenUp,
            "the request's time is over",
        ));
    }
    let mut headers = job.head.headers.clone();
    strip_hop_headers(&mut headers);
    let path = job.head.uri.path_and_query();
    let mut request = Request::builder()
        .method(job.head.method.clone())
        .uri(path.map_or("/", |path| path.as_str()))
        .body(Full::new(job.body.clone()))
        .map_err(|error| Failure::not_run(AttemptOutcome::GivenUp, error.to_string()))?;
    *request.headers_mut() = job.shared.dialect.onward(&headers, &onward);
    Ok(request)
}

/// Checks that an answer is one to this request by a server that vouches for it.
async fn check(job: &Job, answer: Answer) -> Result<Answer, Failure> {
    let (head, body) = answer.response.into_parts();
    let verdict = job.shared.dialect.verdict(&head);
    let status = head.status;
    if verdict.not_run {
        // The connection is closed; reading the rest of a refusal is not worth a new one.
        let ended = if status == StatusCode::MISDIRECTED_REQUEST {
            AttemptOutcome::Unreachable
        } else {
            AttemptOutcome::NotRun
        };
        let reason = format!("the server refused with {status}");
        return Err(Failure::not_run(ended, reason));
    }
    if verdict.id.is_some_and(|id| id != job.call.id) {
        return Err(Failure::ran(
            AttemptOutcome::Failed,
            "the answer is to another request",
        ));
    }
    if !verdict.signed {
        let reason = format!("the server does not vouch for its answer {status}");
        return Err(Failure::ran(AttemptOutcome::Failed, reason));
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failure::ran(
            AttemptOutcome::Failed,
            "the answer is encoded",
        ));
    }
    if promises_not_run(status) {
        // Without the server's word these would promise more than is known.
        let reason = format!("the server answered {status} without saying that it did not run");
        return Err(Failure::ran(AttemptOutcome::Failed, reason));
    }
    Ok(Answer {
        response: Response::from_parts(head, body),
        sender: answer.sender,
    })
}

/// Whether a status tells callers that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

async fn open(
    job: &Job,
    hold: &Hold,
    head: response::Parts,
    mut flow: Flow,
) -> Result<Got, Failure> {
    loop {
        let frame = tokio::select! {
            frame = flow.body.frame() => frame,
            waited = wait(job, hold) => return Err(waited.into()),
        };
        let data = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => {
                return Err(Failure::ran(AttemptOutcome::Broken, error.to_string()))
            }
            None if flow.splitter.is_within() => {
                return Err(Failure::ran(
                    AttemptOutcome::Broken,
                    "the stream ended within an event",
                ));
            }
            None => Bytes::new(),
        };
        hold.heard();
        if let Some(first) = flow.splitter.push(&data) {
            return Ok(Got::Stream(Box::new(Opened { head, first, flow })));
        }
        if data.is_empty() {
            return Err(Failure::ran(
                AttemptOutcome::Failed,
                "the stream holds no event",
            ));
        }
        if flow.splitter.is_overlong() {
            return Err(Failure::ran(
                AttemptOutcome::Failed,
                "the stream holds no whole event",
            ));
        }
    }
}

async fn read_whole(job: &Job, hold: &Hold, mut body: Incoming) -> Result<Bytes, Failure> {
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            waited = wait(job, hold) => return Err(waited.into()),
        };
        match frame {
            None => return Ok(whole.freeze()),
            Some(Err(error)) => {
                return Err(Failure::ran(AttemptOutcome::Broken, error.to_string()))
            }
            Some(Ok(frame)) => whole.extend_from_slice(&frame.into_data().unwrap_or_default()),
        }
        hold.heard();
        if whole.len() > WHOLE_BYTES {
            return Err(Failure::ran(
                AttemptOutcome::Failed,
                "the answer is too long",
            ));
        }
    }
}

/// Returns when waiting for the server makes no more sense.
async fn wait(job: &Job, hold: &Hold) -> Waited {
    tokio::select! {
        () = tokio::time::sleep(job.left()) => Waited::TimeOver,
        () = silence(job, hold, hold.placement.started) => Waited::Silent,
    }
}

/// Returns when a server has been silent towards all requests for too long; never for requests
/// that may not run again.
pub(crate) async fn silence(job: &Job, hold: &Hold, since: Mono) {
    let route = &job.request.route;
    if !route.kind.is_repeatable() {
        std::future::pending::<()>().await;
    }
    let patience = SILENCE.max(route.objective * SILENCE_OBJECTIVES);
    tokio::time::sleep(patience).await;
    loop {
        let now = job.shared.now();
        let since = since.max(now.saturating_sub(patience));
        if job
            .shared
            .fleet
            .borrow_mut()
            .is_silent(&hold.placement, since)
        {
            return;
        }
        tokio::time::sleep(SILENCE_LOOK).await;
    }
}

fn is_stream(head: &response::Parts) -> bool {
    let value = head.headers.get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.starts_with(EVENT_STREAM))
}

/// How long the connection may be kept after this answer.
pub(crate) fn idle_time(head: &response::Parts) -> Duration {
    let value = head.headers.get("keep-alive");
    let text = value.and_then(|value| value.to_str().ok());
    let stated = text.and_then(|text| {
        let mut parts = text.split(',');
        parts.find_map(|part| part.trim().strip_prefix("timeout="))
    });
    match stated.and_then(|seconds| seconds.trim().parse().ok()) {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
        None => IDLE_TIME,
    }
}
