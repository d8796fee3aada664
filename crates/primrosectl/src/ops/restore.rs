//! Restores the tables from the routers, which have them in force, after the key-value service has
//! lost them.

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

/// Why the tables were not restored.
#[derive(Debug, Snafu)]
pub enum RestoreError {
    /// No router answered with a document in force.
    #[snafu(display("no router answered with a document in force"))]
    NoRouter,
    /// The newest document could not be fetched from the router that has it in force.
    #[snafu(display("failed to fetch the tables from {router}"))]
    Fetch {
        /// Address of the router.
        router: SocketAddr,
        /// The error of the call.
        source: FleetError,
    },
    /// The router's document has faults.
    #[snafu(display("the tables from {router} have faults:\n{source}"))]
    Invalid {
        /// Address of the router.
        router: SocketAddr,
        /// All faults of the document.
        source: Faults,
    },
    /// The service already holds this generation or a newer one.
    #[snafu(display("the key-value service already holds {found}; nothing was changed"))]
    NotBehind {
        /// Header of the stored document.
        found: Header,
    },
    /// The service could not be read; nothing was changed.
    #[snafu(display("failed to read the key-value service; nothing was changed"))]
    Store {
        /// Error of the last call.
        source: StoreError,
    },
    /// The compare-and-swap failed.
    #[snafu(display("failed to restore the tables"))]
    Swap {
        /// Tells whether nothing was changed or the result is unknown.
        source: SwapError,
    },
}

/// Stores the newest document that any router has in force, if the service holds an older one or none.
pub fn restore(
    store: &dyn Store,
    sleeper: &dyn Sleeper,
    fleet: &dyn Fleet,
    routers: &[SocketAddr],
    key: &str,
) -> Result<Header, RestoreError> {
    let router = newest_router(fleet, routers).ok_or(RestoreError::NoRouter)?;
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
fn newest_router(fleet: &dyn Fleet, routers: &[SocketAddr]) -> Option<SocketAddr> {
    let with_generation = routers.iter().filter_map(|router| {
        let header = fleet.status(*router).ok()?.tables.header?;
        Some((header.generation, *router))
    });
    let newest = with_generation.max_by_key(|(generation, _)| *generation);
    newest.map(|(_, router)| router)
}
