//! Tests of orders to backend servers.

mod desired;
mod faults;
mod fleet;
mod http;
mod random;
mod servers;
mod shutdown;
mod slow;
mod steps;
