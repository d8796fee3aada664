//! Measures the time to parse the two tables, by the number of accounts and servers.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use primrose_core::table::Table;
use primrose_table::activation::ActiveDocument;
use primrose_table::activation::Event;
use primrose_table::document::Document;

/// Number of runs of each step; the median is printed.
const RUNS: usize = 51;

/// Size of a generated document.
struct Size {
    name: &'static str,
    pools: u64,
    accounts: u64,
    /// Number of servers that each pool lists; with 0 the pool selects them from the host list.
    servers: u64,
}

const SIZES: [Size; 4] = [
    Size {
        name: "today",
        pools: 2,
        accounts: 16,
        servers: 12,
    },
    Size {
        name: "planned, servers selected",
        pools: 5,
        accounts: 450,
        servers: 0,
    },
    Size {
        name: "planned, twice the accounts",
        pools: 5,
        accounts: 900,
        servers: 0,
    },
    Size {
        name: "planned, servers listed",
        pools: 5,
        accounts: 450,
        servers: 940,
    },
];

fn text(size: &Size) -> String {
    let mut text = String::from("[document]\ngeneration = 7\nchange = 1\n");
    for pool in 0..size.pools {
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[route model-{pool}]\nmodel = model-{pool}\npool = pool-{pool}\ndeadline = 60s\n\
             idempotent = yes\ncost = 900\n[pool pool-{pool}]\nkind = engine\nmin-slots = 1\n\
             max-slots = 16\nlongest-run = 90s\n"
        );
        if size.servers == 0 {
            let _ = writeln!(text, "service = service-{pool}");
        }
        for server in 0..size.servers {
            let (zone, high, low) = (server % 31, server / 250, server % 250);
            let addr = format!("10.{pool}.{high}.{low}:8000");
            let _ = writeln!(text, "server.worker-{pool}-{server} = zone-{zone}@{addr}");
        }
        for account in 0..size.accounts {
            let _ = writeln!(
                text,
                "weight.client-account-{account} = {}",
                account % 9 + 1
            );
        }
    }
    text
}

fn median(mut step: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            step();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2]
}

fn main() {
    println!(
        "{:<30} {:>9} {:>12} {:>12}",
        "document", "bytes", "parse", "unchanged"
    );
    for size in &SIZES {
        let text = text(size);
        let parsed = median(|| {
            let document = Document::parse("tables", black_box(&text));
            black_box(document.expect("the document is valid"));
        });
        let mut active: ActiveDocument<Table> = ActiveDocument::new("tables");
        let event = || Event::Store {
            generation_at_read: 0,
            value: Some(text.clone().into_bytes()),
        };
        active.decide(event(), Duration::from_secs(1));
        let unchanged = median(|| {
            black_box(active.decide(event(), Duration::from_secs(1)));
        });
        let bytes = text.len();
        println!(
            "{:<30} {bytes:>9} {parsed:>12.1?} {unchanged:>12.1?}",
            size.name
        );
    }
}
