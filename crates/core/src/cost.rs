//! Unit of the service that client accounts receive.
//!
//! A request to a model engine costs one unit for each input token and two for each output token,
//! as in the virtual token counter of Sheng et al., "Fairness in Serving Large Language Models",
//! 2024. A call to a plain service costs the amount set in its route.

use serde::Deserialize;
use serde::Serialize;

/// Amount of service, in units.
pub type Service = u64;

/// Units of service for each input token.
pub const INPUT_TOKEN_UNITS: Service = 1;
/// Units of service for each output token.
pub const OUTPUT_TOKEN_UNITS: Service = 2;

/// Numbers of tokens that a request used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    /// Tokens in the prompt.
    pub input: u64,
    /// Generated tokens.
    pub output: u64,
}

/// Converts token counts to units of service.
pub fn service(tokens: Tokens) -> Service {
    let input = tokens.input.saturating_mul(INPUT_TOKEN_UNITS);
    let output = tokens.output.saturating_mul(OUTPUT_TOKEN_UNITS);
    input.saturating_add(output)
}
