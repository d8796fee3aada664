//! Evacuated availability zones: what the gateway reads of them in the platform's store, and its log.

use primrose_core::id::ZoneId;
use primrose_fleet::evacuation::MAX_ZONES;

use crate::adapter::Version;
use crate::event::Event;
use crate::shared::Shared;

/// Applies what was read in the store: the whole list, or changes, each with a zone and whether it is
/// evacuated.
pub(crate) fn apply(
    shared: &Shared,
    changes: Vec<(ZoneId, bool)>,
    version: Version,
    is_full_list: bool,
) {
    let now = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    let excess = if is_full_list {
        let evacuated = changes.into_iter().filter(|(_, evacuated)| *evacuated);
        let zones = evacuated.map(|(zone, _)| zone).collect();
        fleet.replace_evacuations(zones, version, now)
    } else {
        fleet.change_evacuations(changes, version, now)
    };
    drop(fleet);
    log_changes(shared);
    for name in excess {
        let reason = format!("more than {MAX_ZONES} zones are evacuated");
        shared.log.event(&Event::EntryUnusable { name, reason });
    }
}

/// Logs the zones that were evacuated or put back into use since the last call.
pub(crate) fn log_changes(shared: &Shared) {
    let changes = shared.fleet.borrow_mut().take_evacuation_changes();
    for change in changes {
        let fleet = shared.fleet.borrow();
        let zone = fleet.zone_name(change.zone);
        let servers = fleet.servers_in_zone(change.zone);
        let source = change.source.to_string();
        shared.log.event(&if change.is_evacuated {
            Event::ZoneEvacuated {
                zone,
                servers,
                source,
            }
        } else {
            Event::ZoneRestored {
                zone,
                servers,
                source,
            }
        });
    }
}
