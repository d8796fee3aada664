//! The fault matrix: single faults, pairs, random sequences, and rules broken on purpose.

mod broken;
mod matrix;
mod operator;
mod order_faults;
mod order_servers;
mod orders;
mod pairs;
mod render;
mod scenario;
mod sequences;
mod sim;
mod steps;
mod tables;
