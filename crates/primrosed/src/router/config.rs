//! Converts the settings of the process into the settings of the front and the membership view.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use primrose_core::id::Member;
use primrose_settings::Settings;
use rustix::process::getrlimit;
use rustix::process::Resource;

/// Part of the file descriptors that callers may use. The others are for as many connections to
/// servers, and for the platform and other routers.
const DESCRIPTOR_DIVISOR: u64 = 2;

/// Returns how many connections callers may have, given the limit on file descriptors of the process.
fn connection_limit(wanted: usize, descriptors: Option<u64>) -> usize {
    let most = descriptors.map_or(u64::MAX, |most| most / DESCRIPTOR_DIVISOR);
    wanted.min(usize::try_from(most).unwrap_or(usize::MAX))
}

pub(super) fn front_limits(settings: &Settings) -> primrose_front::Limits {
    let limits = &settings.limits;
    let descriptors = getrlimit(Resource::Nofile);
    primrose_front::Limits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        buffered_bytes: limits.buffered_bytes,
        connections: connection_limit(limits.connections, descriptors.current),
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
