//! Tokens with which a caller resumes a stream through another router.
//!
//! When a router fails in the middle of a stream, the engine keeps the stream for a while. The head
//! of every token stream therefore carries a resume token that names the attempt and the server. It
//! contains no secret and needs no storage: an HMAC under a key shared by all routers binds it to
//! the client account, so that it gives no access to another account's stream.

use std::net::SocketAddr;

use hmac::Hmac;
use hmac::Mac;
use primrose_core::id::AttemptId;
use sha2::Sha256;
use snafu::Snafu;

/// Length of the authentication tag, in bytes.
const TAG_BYTES: usize = 16;
/// Prefix of the authenticated data, so that a tag is not valid for any other use of the key.
const PURPOSE: &[u8] = b"primrosehall stream pass 1";

/// A resume token was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ResumeTokenError {
    /// The text is not a resume token.
    #[snafu(display("the stream pass is malformed"))]
    Malformed,
    /// The token was signed for another account or with another key.
    #[snafu(display("the stream pass is not valid for this account"))]
    Invalid,
}

/// Identifies a stream on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumeToken {
    /// The attempt that started the stream.
    pub attempt: AttemptId,
    /// Address of the server.
    pub addr: SocketAddr,
}

/// Signs and verifies resume tokens; all routers of a deployment share the key.
#[derive(Clone)]
pub struct ResumeTokenKey(Vec<u8>);

impl ResumeTokenKey {
    /// Creates a signing key from its bytes.
    pub fn new(key: &[u8]) -> Self {
        Self(key.to_vec())
    }

    /// Renders a resume token signed for an account.
    pub fn sign(&self, pass: ResumeToken, account: &str) -> String {
        let tag = self.tag(pass, account).finalize().into_bytes();
        let tag: String = tag[..TAG_BYTES]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        format!("{}~{}~{tag}", pass.attempt, pass.addr)
    }

    /// Parses a resume token and verifies that it was signed for the account.
    pub fn verify(&self, text: &str, account: &str) -> Result<ResumeToken, ResumeTokenError> {
        let (pass, tag) = parse(text).ok_or(ResumeTokenError::Malformed)?;
        let checked = self.tag(pass, account).verify_truncated_left(&tag);
        checked.map_err(|_| ResumeTokenError::Invalid)?;
        Ok(pass)
    }

    fn tag(&self, pass: ResumeToken, account: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.0).expect("an HMAC takes keys of any length");
        mac.update(PURPOSE);
        // The account comes last because only it has no fixed format.
        mac.update(format!("~{}~{}~{account}", pass.attempt, pass.addr).as_bytes());
        mac
    }
}

fn parse(text: &str) -> Option<(ResumeToken, Vec<u8>)> {
    let mut parts = text.split('~');
    let (request, number) = parts.next()?.split_once('.')?;
    let attempt = AttemptId {
        request: u64::from_str_radix(request, 16).ok()?,
        number: number.parse().ok()?,
    };
    let addr = parts.next()?.parse().ok()?;
    let tag = parse_hex(parts.next()?)?;
    let whole = parts.next().is_none() && tag.len() == TAG_BYTES;
    whole.then_some((ResumeToken { attempt, addr }, tag))
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || text.len() % 2 != 0 {
        return None;
    }
    let bytes = (0..text.len()).step_by(2);
    bytes
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
