//! Tests of the operators' work on the two tables, the accounts and the routers.

mod accounts;
mod apply;
mod commands;
mod consul;
mod explain;
mod fleet;
mod races;
mod restore;
mod support;
mod today;
