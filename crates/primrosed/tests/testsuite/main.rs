//! Tests that run the program `primrosed` as separate processes.

mod answer_heads;
mod cold_servers;
mod continued_streams;
mod crashed_servers;
mod evacuated_zones;
mod faulty_servers;
mod gateway;
mod gateway_fixture;
mod gateway_texts;
mod planned_stop;
mod poison_parts;
#[allow(dead_code, reason = "the tests with hostile callers use the rest")]
mod process_stats;
mod processes;
mod resumed_over_share;
#[allow(dead_code, reason = "the tests with hostile callers use the rest")]
mod router_fixture;
mod server_limits;
mod server_wishes;
mod settings;
mod soak;
mod store_faults;
mod store_restored;
mod stream_versions;
