//! Serializes attempt ids as a pair, without field names.

use primrose_core::id::AttemptId;
use primrose_core::id::RequestId;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

#[derive(Serialize, Deserialize)]
struct Pair(RequestId, u32);

pub(super) fn serialize<S: Serializer>(
    attempt: &AttemptId,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    Pair(attempt.request, attempt.number).serialize(serializer)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<AttemptId, D::Error> {
    let Pair(request, number) = Pair::deserialize(deserializer)?;
    Ok(AttemptId { request, number })
}
