//! What operators and faults do to a running deployment.

use primrose_core::id::Generation;
use primrose_core::id::ZoneId;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrosed::router::Sharing;
use snafu::ResultExt;

use crate::deployment::process::SHUTDOWN;
use crate::deployment::Deployment;
use crate::deployment::Result;
use crate::deployment::StoreSnafu;
use crate::documents::TablesText;
use crate::documents::TABLES_KEY;

impl Deployment {
    /// Cuts a place off from the platform, or ends that; a router that replaces one stays cut off.
    pub fn cut_off(&self, place: usize, cut: bool) {
        let (_, host) = self.names_of(place);
        if let Some(way) = self.cuts.get(&host) {
            way.set(cut);
        }
    }

    /// Shuts a router down gracefully.
    pub fn shut_down(&mut self, place: usize) -> Option<primrosed::router::Shutdown> {
        let placed = self.routers[place].take()?;
        Some(placed.router.shutdown(SHUTDOWN, &|| false))
    }

    /// Ends a router without waiting for its requests.
    pub fn kill(&mut self, place: usize) {
        if let Some(placed) = self.routers[place].take() {
            placed.router.abort();
        }
    }

    /// Starts a router anew at a place, empty, under the same host name.
    pub fn replace(&mut self, place: usize) -> Result<()> {
        let (zone, host) = match self.routers[place].take() {
            Some(placed) => {
                let names = (placed.zone.clone(), placed.host.clone());
                placed.router.abort();
                names
            }
            None => self.names_of(place),
        };
        let placed = self.start_router(&zone, &host, Sharing::Fleet)?;
        self.routers[place] = Some(placed);
        Ok(())
    }

    /// Zone and host name that belong to a place.
    pub(super) fn names_of(&self, place: usize) -> (ZoneId, String) {
        let mut first = 0;
        for zone in &self.shape.zones {
            if place < first + zone.routers {
                let number = place - first + 1;
                return (zone.name.clone(), format!("{}-entry-{number}", zone.name));
            }
            first += zone.routers;
        }
        unreachable!("every place belongs to a zone")
    }

    /// Puts the tables of another generation into the key-value service.
    pub fn edit_tables(&self, generation: Generation) -> Result<()> {
        let text = TablesText::new(&self.shape).render(generation);
        let op = Op::Put {
            key: TABLES_KEY.to_owned(),
            value: text.into_bytes(),
        };
        self.kv.store().commit(&[op]).context(StoreSnafu)?;
        Ok(())
    }

    /// Does the same with another model version for the engines.
    pub fn edit_version(&mut self, generation: Generation, version: &str) -> Result<()> {
        version.clone_into(&mut self.shape.version);
        self.edit_tables(generation)
    }

    /// Place of a router by its host name.
    pub fn place_of(&self, host: &str) -> Option<usize> {
        let mut places = 0..self.places();
        places.find(|place| self.names_of(*place).1 == host)
    }
}
