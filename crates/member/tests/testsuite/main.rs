//! Tests of the membership view.

mod converge;
mod net;
