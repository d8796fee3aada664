//! Text in addresses of requests.

/// Encodes a key for a path or a query; slashes stay, since they part its segments.
pub fn percent_encode(key: &str) -> String {
    let mut escaped = String::with_capacity(key.len());
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                escaped.push(char::from(byte));
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}
