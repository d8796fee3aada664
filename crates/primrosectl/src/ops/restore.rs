//! Puts back the tables that the routers have in force, when the key-value service has lost them.

use std::net::SocketAddr;

use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_table::document::Document;
use primrose_table::header::Header;
use primrose_table::ini::Faults;
use snafu::ResultExt;
use snafu::Snafu;

use super::fleet::Fleet;
use super::fleet::FleetError;
use super::sleep::Sleeper;
use super::swap::read;
use super::swap::swap;
use super::swap::Proposal;
use super::swap::SwapError;

/// Why nothing was put back.
#[derive(Debug, Snafu)]
pub enum RestoreError {
    /// No router answered with a document in force.
    #[snafu(display("no router answered with a document in force"))]
    NoRouter,
    /// The router that has the newest document did not hand it out.
    #[snafu(display("failed to fetch the tables from {router}"))]
    Fetch {
        /// Address of the router.
        router: SocketAddr,
        /// What went wrong.
        source: FleetError,
    },
    /// The router's document has faults.
    #[snafu(display("the tables from {router} have faults:\n{source}"))]
    Invalid {
        /// Address of the router.
        router: SocketAddr,
        /// Every fault.
        source: Faults,
    },
    /// The service already holds this generation or a newer one.
    #[snafu(display("the key-value service already holds {found}; nothing was changed"))]
    NotBehind {
        /// What it holds.
        found: Header,
    },
    /// The service could not be read; nothing was changed.
    #[snafu(display("failed to read the key-value service; nothing was changed"))]
    Store {
        /// What the service's adapter saw.
        source: StoreError,
    },
    /// The swap failed.
    #[snafu(display("failed to put the tables back"))]
    Swap {
        /// Whether nothing was changed, or that is unknown.
        source: SwapError,
    },
}

/// Puts the newest document that a router has in force back into the service.
pub fn restore(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    fleet: &dyn Fleet,
    routers: &[SocketAddr],
    key: &str,
) -> Result<Header, RestoreError> {
    let router = newest(fleet, routers).ok_or(RestoreError::NoRouter)?;
    let text = fleet.tables(router).context(FetchSnafu { router })?;
    let document = Document::parse(&router.to_string(), &text);
    let document = document.context(InvalidSnafu { router })?;
    let header = document.header();
    let stored = read(store, sleeper, key).context(StoreSnafu)?;
    if let Some(found) = stored
        .header
        .filter(|found| found.generation >= header.generation)
    {
        return NotBehindSnafu { found }.fail();
    }
    let proposal = Proposal {
        key,
        base: &stored,
        header,
        text: &text,
    };
    swap(store, sleeper, &proposal).context(SwapSnafu)?;
    Ok(header)
}

/// Returns the router that has the newest generation in force.
fn newest(fleet: &dyn Fleet, routers: &[SocketAddr]) -> Option<SocketAddr> {
    let with_generation = routers.iter().filter_map(|router| {
        let header = fleet.status(*router).ok()?.tables.header?;
        Some((header.generation, *router))
    });
    let newest = with_generation.max_by_key(|(generation, _)| *generation);
    newest.map(|(_, router)| router)
}
