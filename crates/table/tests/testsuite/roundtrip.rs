//! Parsing a rendered value returns the same value.

use std::time::Duration;

use primrose_core::table::Selector;
use primrose_core::table::Server;
use primrose_core::table::Table;
use primrose_support::seeded::checker;
use primrose_support::tables::engine_pool;
use primrose_support::tables::model_route;
use primrose_support::tables::order_route;
use primrose_support::tables::plain_pool;
use primrose_table::document::Document;
use primrose_table::header::MAX_GENERATION;
use primrose_table::value;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// A valid document with random values.
#[derive(Debug, Clone)]
pub(crate) struct AnyDocument(pub(crate) Document);

fn millis(g: &mut Gen) -> Duration {
    Duration::from_millis(u64::from(u32::arbitrary(g) % 1_000_000) + 1)
}

fn servers(g: &mut Gen, pool: usize) -> Selector {
    if bool::arbitrary(g) {
        return Selector::Service(format!("service-{pool}"));
    }
    let count = u8::arbitrary(g) % 4 + 1;
    let server = |index| Server {
        id: format!("s{pool}.{index}"),
        zone: format!("zone-{}", index % 3),
        addr: ([10, 0, pool as u8, index], 8000).into(),
    };
    Selector::Listed((0..count).map(server).collect())
}

fn add_pool(g: &mut Gen, table: &mut Table, index: usize) {
    let name = format!("pool-{index}");
    let mut pool = match index % 2 {
        0 => engine_pool(&name),
        _ => plain_pool(&name),
    };
    pool.servers = servers(g, index);
    pool.slots.max += u32::from(u8::arbitrary(g));
    pool.max_run_time = Duration::from_secs(2000);
    pool.first_token = millis(g);
    pool.inter_token = millis(g);
    pool.default_weight = u32::from(u8::arbitrary(g)) + 1;
    pool.queue.total_bytes += usize::from(u16::arbitrary(g));
    pool.checks_fencing = bool::arbitrary(g);
    for account in 0..u8::arbitrary(g) % 5 {
        let weight = u32::from(u8::arbitrary(g)) + 1;
        pool.weights.insert(format!("account-{account}"), weight);
    }
    if bool::arbitrary(g) {
        pool.model_version = format!("v{}", u8::arbitrary(g));
    }
    let mut route = match index % 2 {
        0 => model_route(
            &format!("route-{index}"),
            &format!("org/model:{index}"),
            &name,
        ),
        _ => order_route(&format!("route-{index}"), &format!("/path/{index}"), &name),
    };
    route.deadline = millis(g);
    route.cost = u64::from(u32::arbitrary(g)) + 1;
    table.routes.insert(route.name.clone(), route);
    table.pools.insert(name, pool);
}

impl Arbitrary for AnyDocument {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut table = Table {
            generation: u64::arbitrary(g) % MAX_GENERATION,
            ..Table::default()
        };
        for index in 0..usize::arbitrary(g) % 5 {
            add_pool(g, &mut table, index);
        }
        let change = u64::arbitrary(g);
        Self(Document { change, table })
    }
}

#[test]
fn documents_round_trip() {
    fn holds(document: AnyDocument) -> bool {
        let text = document.0.render();
        Document::parse("t.ini", &text).as_ref() == Ok(&document.0)
    }
    checker().quickcheck(holds as fn(AnyDocument) -> bool);
}

#[test]
fn durations_round_trip() {
    fn holds(micros: u32) -> bool {
        let duration = Duration::from_micros(u64::from(micros) + 1);
        value::duration(&value::format_duration(duration)) == Ok(duration)
    }
    checker().quickcheck(holds as fn(u32) -> bool);
}

#[test]
fn sizes_round_trip() {
    fn holds(bytes: u32) -> bool {
        let bytes = bytes as usize + 1;
        value::size(&value::format_size(bytes)) == Ok(bytes)
    }
    checker().quickcheck(holds as fn(u32) -> bool);
}

#[test]
fn values_are_formatted_in_the_largest_exact_unit() {
    let durations = [
        (1300, "1300ms"),
        (30_000, "30s"),
        (300_000, "5m"),
        (7_200_000, "2h"),
    ];
    for (millis, text) in durations {
        assert_eq!(value::format_duration(Duration::from_millis(millis)), text);
    }
    for (bytes, text) in [(1 << 16, "64KiB"), (3 << 20, "3MiB"), (1000, "1000B")] {
        assert_eq!(value::format_size(bytes), text);
    }
}
