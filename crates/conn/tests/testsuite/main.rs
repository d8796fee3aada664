//! Tests of callers' connections.

mod receive_buffers;
