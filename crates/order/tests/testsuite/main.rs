//! Tests of orders to backend servers.

mod desired;
mod faults;
mod fleet;
mod http;
mod random;
mod resign;
mod servers;
mod slow;
mod steps;
