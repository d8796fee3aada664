//! A small valid document and edits of it.

/// A document with one route by model, one by path, and their pools.
pub(crate) const VALID: &str = "\
[document]
generation = 7
change = 00000000000000aa
[route chat]
model = small
pool = engines
deadline = 30s
idempotent = yes
cost = 500
[route order]
path = /orders
pool = orders
deadline = 10s
idempotent = no
cost = 1
[pool engines]
kind = engine
server.e1 = a@10.0.0.1:80
server.e2 = b@10.0.0.2:80
min-slots = 1
max-slots = 8
longest-run = 60s
weight.large = 4
[pool orders]
kind = plain
service = order
min-slots = 1
max-slots = 2
longest-run = 20s
";

/// Returns the valid document with one text replaced; panics if the text is absent.
pub(crate) fn edited(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "no line {from:?} to edit");
    VALID.replacen(from, to, 1)
}
