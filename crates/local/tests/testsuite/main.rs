//! Tests of whole routers over real loopback links, against stand-ins' own records.

mod documents;
mod fixture;
mod leaving;
mod orders;
mod orders_to_servers;
mod partition;
mod poison;
mod replaced;
mod shutdown;
mod streams;
mod today;
