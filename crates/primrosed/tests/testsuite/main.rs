//! Tests of the program `primrosed` as processes of their own.

mod processes;
mod settings;
mod world;
