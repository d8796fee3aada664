//! HTTP listener for operators: status, active tables, the day's report, metrics and draining.
//!
//! No response is streamed, so the blocking server `rouille` suffices. It has an address of its own,
//! which should be reachable from the operators' network only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::bounded;
use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use metrics_exporter_prometheus::PrometheusHandle;
use primrose_core::fingerprint::Fingerprint;
use primrose_report::html;
use rouille::Request;
use rouille::Response;
use snafu::Snafu;

use crate::duty::page::PageBuilder;
use crate::duty::page::PageError;
use crate::duty::StopFlag;
use crate::input::Input;
use crate::message::DocumentKind;

/// Maximum wait for the reply of the deciding thread.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the listener checks the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reason why the operator listener could not start.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The listen address could not be bound.
    #[snafu(display("failed to listen for operators on {addr}: {reason}"))]
    Listen {
        /// Listen address.
        addr: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
}

/// Handler of operator requests.
pub(crate) struct OperatorServer {
    pub(crate) input_sender: Sender<Input>,
    pub(crate) pages: PageBuilder,
    pub(crate) metrics: Option<PrometheusHandle>,
    /// Signals that the router should shut down gracefully.
    pub(crate) drain: Sender<()>,
}

/// A running operator listener.
pub(crate) struct OperatorListener {
    pub(crate) addr: SocketAddr,
    pub(crate) thread: JoinHandle<()>,
}

impl OperatorServer {
    /// Starts the listener on its own thread; it runs until the stop flag is set.
    pub(crate) fn start(
        self,
        addr: SocketAddr,
        stop: Arc<StopFlag>,
    ) -> Result<OperatorListener, OperatorError> {
        let failed = |reason: String| OperatorError::Listen { addr, reason };
        let server = rouille::Server::new(addr, move |request| self.respond(request))
            .map_err(|error| failed(error.to_string()))?;
        let addr = server.server_addr();
        let thread = std::thread::Builder::new()
            .name("operator".to_owned())
            .spawn(move || {
                while !stop.is_stopped() {
                    server.poll_timeout(POLL_INTERVAL);
                }
            })
            .map_err(|error| failed(error.to_string()))?;
        Ok(OperatorListener { addr, thread })
    }

    fn respond(&self, request: &Request) -> Response {
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("GET", "/status") => self.status(),
            ("GET", "/tables") => self.tables(),
            ("GET", "/today") => self.today(request),
            ("GET", "/" | "/today.html") => self.today_html(request),
            ("GET", "/suspects") => self.suspects(),
            ("GET", "/metrics") => self.metrics(),
            ("GET", "/healthz") => Response::text("ok\n"),
            ("POST", "/drain") => self.start_drain(),
            ("POST", path) => match lift_path(path) {
                Some(fingerprint) => self.lift(fingerprint),
                None => Response::empty_404(),
            },
            _ => Response::empty_404(),
        }
    }

    fn status(&self) -> Response {
        match self.query(Input::Status) {
            Some(status) => Response::json(&status),
            None => busy(),
        }
    }

    fn tables(&self) -> Response {
        match self.query(|reply| Input::Text(DocumentKind::Tables, reply)) {
            Some(Some(text)) => Response::text(text),
            Some(None) => Response::empty_404(),
            None => busy(),
        }
    }

    fn today(&self, request: &Request) -> Response {
        match self.pages.page(request.get_param("date")) {
            Ok(page) => Response::json(&page),
            Err(error) => page_error(&error),
        }
    }

    fn today_html(&self, request: &Request) -> Response {
        match self.pages.page(request.get_param("date")) {
            Ok(page) => Response::html(html::render(&page)),
            Err(error) => page_error(&error),
        }
    }

    fn suspects(&self) -> Response {
        match self.query(Input::Suspects) {
            Some(suspects) => Response::json(&suspects),
            None => busy(),
        }
    }

    fn metrics(&self) -> Response {
        match &self.metrics {
            Some(handle) => Response::text(handle.render()),
            None => Response::empty_404(),
        }
    }

    fn start_drain(&self) -> Response {
        // A full channel means that a shutdown has already been requested.
        let _ = self.drain.try_send(());
        Response::text("draining\n")
    }

    fn lift(&self, fingerprint: Fingerprint) -> Response {
        match self.query(|reply| Input::Lift(fingerprint, reply)) {
            Some(true) => Response::text("lifted\n"),
            Some(false) => Response::empty_404(),
            None => busy(),
        }
    }

    /// Sends an input to the deciding thread and waits for the reply.
    fn query<T>(&self, input: impl FnOnce(Sender<T>) -> Input) -> Option<T> {
        let (reply, respond): (Sender<T>, Receiver<T>) = bounded(1);
        self.input_sender.try_send(input(reply)).ok()?;
        respond.recv_timeout(RESPONSE_TIMEOUT).ok()
    }
}

fn busy() -> Response {
    Response::text("the router did not answer in time\n").with_status_code(503)
}

fn page_error(error: &PageError) -> Response {
    let status = match error {
        PageError::Day { .. } => 400,
        PageError::Busy => 503,
    };
    Response::text(format!("{error}\n")).with_status_code(status)
}

/// Parses the fingerprint from a path `/suspects/FINGERPRINT/lift`.
fn lift_path(path: &str) -> Option<Fingerprint> {
    let rest = path.strip_prefix("/suspects/")?;
    let digits = rest.strip_suffix("/lift")?;
    Fingerprint::from_str_radix(digits, 16).ok()
}
