//! Responses that the gateway itself generates.

use std::time::Duration;

use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::header::TE;
use http::header::TRAILER;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use serde_json::json;

use crate::body::ResponseBody;
use crate::shared::Shared;

/// A response that the gateway itself generates.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) reason: String,
    pub(crate) retry_after: Option<Duration>,
}

impl Reply {
    pub(crate) fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that has not run.
    pub(crate) fn not_run(reason: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: reason.into(),
            retry_after: Some(retry_after),
        }
    }

    pub(crate) fn into_response(self, shared: &Shared, id: &str) -> Response<ResponseBody> {
        let text = json!({ "error": self.reason, "request": id }).to_string();
        let mut response = Response::new(ResponseBody::complete(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        *headers = shared.protocol.reply_headers(&id.to_owned());
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Removes hop-by-hop headers and `Content-Length`.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers {
        headers.remove(name);
    }
    let keep_alive = HeaderName::from_static("keep-alive");
    let proxy = HeaderName::from_static("proxy-connection");
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        keep_alive,
        proxy,
    ] {
        headers.remove(name);
    }
}
