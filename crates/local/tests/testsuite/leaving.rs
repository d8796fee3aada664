//! Backend servers that leave.

use std::time::Duration;

use primrose_core::host::Host;
use primrose_core::host::HostState;

use crate::fixture;

/// Time after which a leaving server gets nothing new.
const LEAVE_TIME: Duration = Duration::from_secs(3);

#[test]
fn a_leaving_server_gets_no_new_work() {
    let deployment = fixture::start(2, 1);
    let leaving = deployment.board().visible();
    let leaving = leaving
        .iter()
        .find(|host| host.id.contains("engine"))
        .unwrap();
    let engine = deployment
        .engines()
        .iter()
        .find(|engine| engine.addr() == leaving.addr);
    let engine = engine.unwrap();
    deployment.board().put(Host {
        state: HostState::Leaving,
        ..leaving.clone()
    });
    let shown = |deployment: &primrose_local::Deployment| {
        let hosts = deployment.board().visible();
        hosts.iter().any(|host| host.state == HostState::Leaving)
    };
    deployment
        .wait("the list shows it", fixture::PATIENCE, shown)
        .unwrap();
    std::thread::sleep(LEAVE_TIME);
    let before = engine.runs().len();
    for place in 0..deployment.places() {
        assert!(fixture::stream(&deployment, place, &format!("notice {place}"), 3).whole);
    }
    assert_eq!(engine.runs().len(), before);
}
