//! Tests of the links between routers.

mod attack;
mod codec;
mod endpoint;
mod fleet;
mod frame;
mod handshake;
mod partition;
mod resolve;
mod tools;
