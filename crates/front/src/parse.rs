//! Parses the fields of a completion request's body that routing needs.
//!
//! The body is forwarded to the engine as the caller sent it. This module reads the model, whether
//! the answer is streamed, an estimate of the input tokens, the caller's limit on output tokens,
//! and hashes of growing prefixes by which the dispatcher finds a server with a cached prefix.

use primrose_core::fingerprint::fingerprint;
use serde::Deserialize;
use snafu::ResultExt;
use snafu::Snafu;

/// Estimated bytes of text per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes of input in each prefix block.
const PREFIX_BLOCK_BYTES: usize = 1024;
/// Maximum number of prefix blocks that are hashed.
const MAX_PREFIX_BLOCKS: usize = 8;

/// Fields of a completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Estimated number of input tokens.
    pub input_tokens: u64,
    /// The caller's limit on output tokens.
    pub max_tokens: Option<u64>,
    /// Hashes of the input's growing prefixes, shortest first.
    pub prefixes: Vec<u64>,
}

/// The body is not a valid completion request.
#[derive(Debug, Snafu)]
pub enum ParseError {
    /// The body is not the expected JSON.
    #[snafu(display("failed to read the request body as a chat completion request"))]
    Json {
        /// Error of the decoder.
        source: serde_json::Error,
    },
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    messages: Vec<ChatMessage>,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

/// Parses the body of a chat completion request.
pub fn completion(body: &[u8]) -> Result<CompletionRequest, ParseError> {
    let chat: ChatBody = serde_json::from_slice(body).context(JsonSnafu)?;
    let mut input = String::new();
    for message in &chat.messages {
        push_message(&mut input, message);
    }
    Ok(CompletionRequest {
        model: chat.model,
        stream: chat.stream,
        input_tokens: (input.len() as u64).div_ceil(BYTES_PER_TOKEN),
        max_tokens: chat.max_completion_tokens.or(chat.max_tokens),
        prefixes: prefixes(input.as_bytes()),
    })
}

fn push_message(input: &mut String, message: &ChatMessage) {
    input.push_str(&message.role);
    input.push('\n');
    match &message.content {
        serde_json::Value::String(text) => input.push_str(text),
        serde_json::Value::Null => {}
        parts => input.push_str(&parts.to_string()),
    }
    input.push('\n');
}

fn prefixes(input: &[u8]) -> Vec<u64> {
    let blocks = (input.len() / PREFIX_BLOCK_BYTES).min(MAX_PREFIX_BLOCKS);
    (1..=blocks)
        .map(|block| fingerprint("", "", &input[..block * PREFIX_BLOCK_BYTES]))
        .collect()
}
