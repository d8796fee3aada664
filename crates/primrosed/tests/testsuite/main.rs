//! Tests of the program `primrosed` as processes of their own.

mod platform;
mod platform_store;
mod platform_world;
mod processes;
mod settings;
mod soak;
mod world;
