//! Small deployments and waits.

use std::time::Duration;

use primrose_core::id::Generation;
use primrose_local::chat_body;
use primrose_local::Client;
use primrose_local::Deployment;
use primrose_local::Shape;
use primrose_local::Streamed;

/// Longest wait for something that must happen.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Three zones with this many routers and engines each.
pub(crate) fn start(routers: usize, engines: usize) -> Deployment {
    let mut shape = Shape::three_zones();
    for zone in &mut shape.zones {
        zone.routers = routers;
        zone.engines = engines;
    }
    Deployment::start(shape).unwrap()
}

/// A caller of the first account.
pub(crate) fn client(deployment: &Deployment) -> Client {
    let account = &deployment.shape().accounts[0].name;
    Client::new(&deployment.bearer(account))
}

/// Streams an answer of some tokens through a router.
pub(crate) fn stream(deployment: &Deployment, place: usize, text: &str, tokens: u64) -> Streamed {
    let body = chat_body(text, tokens, None, true);
    let router = deployment.router(place).callers();
    let client = client(deployment);
    client
        .stream(router, &body, text, &**deployment.clock(), |_| {})
        .unwrap()
}

/// Generation of the tables in force on a router; 0 for none.
pub(crate) fn generation(deployment: &Deployment, place: usize) -> Generation {
    let status = deployment.status(place).unwrap_or_default();
    status["tables"]["header"]["generation"]
        .as_u64()
        .unwrap_or(0)
}

/// Runs of an order by the services' own record.
pub(crate) fn runs_of(deployment: &Deployment, key: &str) -> usize {
    deployment
        .plains()
        .iter()
        .map(|plain| plain.runs_of(key))
        .sum()
}
