//! Completion requests, their responses and the events of a streamed response.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Final event of every stream.
pub(crate) const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A completion request, reduced to the fields that the engine uses.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    metadata: Metadata,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

/// The request's free-form metadata, which sets the actual length of the answer.
#[derive(Debug, Default, Deserialize)]
struct Metadata {
    tokens: Option<String>,
}

impl ChatRequest {
    /// Returns the prompt's tokens: the role and each word of every message.
    pub(crate) fn words(&self) -> Vec<String> {
        let mut words = Vec::new();
        for message in &self.messages {
            words.push(message.role.clone());
            match &message.content {
                Content::Text(text) => push_words(&mut words, text),
                Content::Parts(parts) => {
                    for part in parts {
                        push_words(&mut words, &part.text);
                    }
                }
            }
        }
        words
    }

    /// Returns the number of output tokens: `metadata.tokens` or else the default, capped at the
    /// request's token limit and at least 1.
    pub(crate) fn length(&self, default: u64) -> u64 {
        let requested = self.metadata.tokens.as_ref();
        let length = requested
            .and_then(|text| text.parse().ok())
            .unwrap_or(default);
        let limit = self.max_completion_tokens.or(self.max_tokens);
        limit.map_or(length, |limit| length.min(limit)).max(1)
    }

    /// Returns a fingerprint of the model and the messages.
    pub(crate) fn tag(&self) -> u16 {
        let mut hash = DefaultHasher::new();
        self.model.hash(&mut hash);
        self.words().hash(&mut hash);
        hash.finish() as u16
    }
}

fn push_words(words: &mut Vec<String>, text: &str) {
    words.extend(text.split_whitespace().map(str::to_owned));
}

/// Returns the output token with the given number, counted from 1.
pub(crate) fn token(tag: u16, number: u64) -> String {
    format!("{tag:04x}.{number} ")
}

/// Returns the text that every engine generates for a request body; `tokens` is the default length.
///
/// `None` if the body is not a completion request.
pub fn answer_text(body: &[u8], tokens: u64) -> Option<String> {
    let request: ChatRequest = serde_json::from_slice(body).ok()?;
    let tag = request.tag();
    let length = request.length(tokens);
    Some((1..=length).map(|number| token(tag, number)).collect())
}

/// Token counts of a request, in the format of the completion API.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    pub(crate) total_tokens: u64,
    pub(crate) prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct PromptDetails {
    pub(crate) cached_tokens: u64,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: Vec<ChunkChoice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

/// Fields that all events of one stream share.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Header<'a> {
    pub(crate) attempt: &'a str,
    pub(crate) model: &'a str,
}

/// Renders the event for one token.
pub(crate) fn token_event(header: Header<'_>, id: u64, text: &str, last: bool) -> Bytes {
    let choice = ChunkChoice {
        index: 0,
        delta: Delta { content: text },
        finish_reason: last.then_some("stop"),
    };
    event(header, id, vec![choice], None)
}

/// Renders the event that carries the usage.
pub(crate) fn usage_event(header: Header<'_>, id: u64, usage: Usage) -> Bytes {
    event(header, id, Vec::new(), Some(usage))
}

fn event(
    header: Header<'_>,
    id: u64,
    choices: Vec<ChunkChoice<'_>>,
    usage: Option<Usage>,
) -> Bytes {
    let chunk = Chunk {
        id: header.attempt,
        object: "chat.completion.chunk",
        model: header.model,
        choices,
        usage,
    };
    let json = serde_json::to_string(&chunk).expect("a chunk is serializable");
    format!("id: {id}\ndata: {json}\n\n").into()
}

/// A completion that is not streamed.
#[derive(Serialize)]
pub(crate) struct Completion {
    pub(crate) id: String,
    pub(crate) object: &'static str,
    pub(crate) model: String,
    pub(crate) choices: Vec<Choice>,
    pub(crate) usage: Usage,
}

#[derive(Serialize)]
pub(crate) struct Choice {
    pub(crate) index: u32,
    pub(crate) message: AnswerMessage,
    pub(crate) finish_reason: &'static str,
}

#[derive(Serialize)]
pub(crate) struct AnswerMessage {
    pub(crate) role: &'static str,
    pub(crate) content: String,
}
