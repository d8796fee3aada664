//! Tests of the operations on the tables, accounts and routers, and of the command line.

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
