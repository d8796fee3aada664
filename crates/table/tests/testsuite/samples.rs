//! The sample tables are valid and match the sizes of the two deployments.

use std::collections::BTreeSet;

use primrose_core::table::Selector;
use primrose_core::table::Table;
use primrose_table::document::Document;

struct Case {
    file: &'static str,
    text: &'static str,
    zones: [&'static str; 3],
    pools: [(&'static str, usize); 2],
    accounts: usize,
}

fn zones_of(table: &Table, pool: &str) -> Vec<String> {
    match &table.pools[pool].servers {
        Selector::Listed(servers) => servers.iter().map(|server| server.zone.clone()).collect(),
        Selector::Service(_) => Vec::new(),
    }
}

#[test]
fn the_samples_match_both_deployments() {
    let cases = [
        Case {
            file: "samples/utility.ini",
            text: include_str!("../../../../samples/utility.ini"),
            zones: ["barasat", "madhyamgram", "habra"],
            pools: [("drafting", 10), ("dispatch", 3)],
            accounts: 16,
        },
        Case {
            file: "samples/co-op.ini",
            text: include_str!("../../../../samples/co-op.ini"),
            zones: ["oudtshoorn", "george", "mosselbaai"],
            pools: [("models", 20), ("auction-floor", 3)],
            accounts: 16,
        },
    ];
    for case in cases {
        let document = Document::parse(case.file, case.text).expect(case.file);
        let table = &document.table;
        assert_eq!(table.pools.len(), case.pools.len(), "{}", case.file);
        let expected: BTreeSet<String> = case.zones.iter().map(|zone| (*zone).into()).collect();
        for (pool, count) in case.pools {
            let zones = zones_of(table, pool);
            assert_eq!(zones.len(), count, "{} {pool}", case.file);
            let zones: BTreeSet<String> = zones.into_iter().collect();
            assert_eq!(zones, expected, "{} {pool}", case.file);
        }
        let accounts = table.pools.values().flat_map(|pool| pool.weights.keys());
        let accounts: BTreeSet<&String> = accounts.collect();
        assert_eq!(accounts.len(), case.accounts, "{}", case.file);
        assert!(table.routes.values().any(|route| !route.idempotent));
    }
}
