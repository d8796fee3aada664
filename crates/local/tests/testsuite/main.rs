//! Tests of whole routers over real loopback links, against stand-ins' own records.

mod cut_off;
mod documents;
mod fixture;
mod leaving;
mod orders;
mod orders_to_servers;
mod partition;
mod poison;
mod replaced;
mod resumed;
mod shutdown;
mod streams;
mod today;
