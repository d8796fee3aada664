//! Converts the settings of the process into the settings of the front and the membership view.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use primrose_core::id::Member;
use primrose_settings::Settings;

pub(super) fn front_limits(settings: &Settings) -> primrose_front::Limits {
    let limits = &settings.limits;
    primrose_front::Limits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        connections: limits.connections,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.first_byte_timeout,
        ..primrose_front::Limits::default()
    }
}

pub(super) fn member_settings(
    settings: &Settings,
    me: &Member,
    addr: SocketAddr,
) -> primrose_member::Settings {
    let zone = settings.router.zone.clone();
    let region = settings.router.region.clone();
    primrose_member::Settings {
        seeds: settings.peers.seeds.iter().map(|seed| seed.addr).collect(),
        regions: BTreeMap::from([(zone.clone(), region)]),
        ..primrose_member::Settings::new(me.clone(), zone, addr)
    }
}
