//! The day's sums and page over a real deployment.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::Member;
use primrose_core::outcome::Outcome;
use primrose_link::BlockScope;
use primrose_local::Deployment;
use primrose_local::Shape;
use primrose_local::PREFIX;
use primrose_report::aggregator;
use primrose_report::calendar::INTERVAL;
use primrose_report::observation::Observation;
use primrose_report::page::Page;
use primrose_report::record::Record;
use primrose_report::total::Total;
use primrose_report::zone::ZoneDay;
use primrose_store::store::CommitResult;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_util::clock::SystemClock;
use primrosed::message::PeerMessage;

use crate::fixture::client;
use crate::fixture::stream;

/// The day on which every test takes place.
const DAY: &str = "2026-12-04";
/// Its beginning, in seconds since the Unix epoch.
const DAY_SECS: u64 = 1_796_342_400;
/// Interval in which the tests begin: noon, far from any midnight.
const NOON: usize = 48;
/// Longest wait for an event.
const LIMIT: Duration = Duration::from_secs(60);

/// Runs like the machine's clock, from noon of the day.
struct NoonClock(SystemClock);

impl Clock for NoonClock {
    fn now(&self) -> Mono {
        self.0.now()
    }

    fn wall(&self) -> SystemTime {
        let noon = INTERVAL * u32::try_from(NOON).unwrap();
        UNIX_EPOCH + Duration::from_secs(DAY_SECS) + noon + self.0.now()
    }
}

fn start(shape: Shape) -> Deployment {
    let clock = Arc::new(NoonClock(SystemClock::new()));
    Deployment::start_with(shape, clock).unwrap()
}

fn send_chat(deployment: &Deployment, place: usize) {
    let answer = stream(deployment, place, "notice-1", 5);
    assert!(answer.whole, "{answer:?}");
}

fn send_order(deployment: &Deployment, place: usize, key: &str) {
    let router = deployment.router(place).callers();
    let answer = client(deployment).order(router, key, "{}").unwrap();
    assert_eq!(answer.outcome, "done");
}

/// What the key-value service holds of the day.
fn kept(deployment: &Deployment) -> Total {
    let store = deployment.kv().store();
    let entries = store
        .list(&aggregator::zone_day_key(PREFIX, DAY, ""))
        .unwrap();
    let values: Vec<Vec<u8>> = entries.into_iter().map(|entry| entry.value).collect();
    let assembled = Total::assemble(DAY, &values, &[]);
    assert!(assembled.decode_errors.is_empty());
    assembled.total
}

fn kept_zone(deployment: &Deployment, zone: &str) -> ZoneDay {
    let entry = deployment
        .kv()
        .store()
        .get(&aggregator::zone_day_key(PREFIX, DAY, zone));
    ZoneDay::decode(&entry.unwrap().unwrap().value).unwrap()
}

/// Orders that were done, by the sums.
fn orders(total: &Total) -> u64 {
    let pool = total.sums.pools.get("dispatch");
    pool.map_or(0, |pool| pool.orders.done)
}

/// Whole answers of the engines, by the sums.
fn answers(total: &Total) -> u64 {
    let pool = total.sums.pools.get("drafting");
    pool.map_or(0, |pool| pool.answers.whole)
}

/// The page as operators get it.
fn page(deployment: &Deployment, place: usize) -> Page {
    let operators = deployment.router(place).operators();
    let answer = ureq::get(format!("http://{operators}/today?date={DAY}")).call();
    answer.unwrap().body_mut().read_json().unwrap()
}

fn found(page: &Page, pool: &str, name: &str) -> String {
    let mut measures = page.measures.iter();
    let measure = measures.find(|one| one.pool == pool && one.name == name);
    measure.map_or_else(String::new, |one| one.found.clone())
}

fn wait(deployment: &Deployment, what: &str, holds: impl Fn(&Deployment) -> bool) {
    deployment.wait(what, LIMIT, holds).unwrap();
}

/// A record that counts as many done orders.
fn record(host: &str, incarnation: u64, zone: &str, orders: u64) -> Record {
    let member = Member {
        host: host.to_owned(),
        incarnation,
    };
    let mut record = Record::new(member, zone, DAY);
    for _ in 0..orders {
        let order = Observation::Order {
            pool: "dispatch".to_owned(),
            outcome: Outcome::Done,
        };
        record.observe(NOON, &order);
    }
    record
}

#[test]
fn sums_survive_the_replacement_of_every_router() {
    let mut deployment = start(Shape::three_zones());
    for place in 0..deployment.places() {
        send_chat(&deployment, place);
        send_order(&deployment, place, &format!("van-{place}"));
    }
    for place in 0..deployment.places() {
        let ended = deployment.shut_down(place).unwrap();
        assert!(ended.cut.is_empty());
        deployment.replace(place).unwrap();
        deployment.wait_ready().unwrap();
    }
    send_order(&deployment, 0, "van-9");
    deployment.shut_down(0).unwrap();

    let total = kept(&deployment);
    assert_eq!((answers(&total), orders(&total)), (3, 4));
    assert_eq!(
        total.sums.accounts.keys().collect::<Vec<_>>(),
        ["parish-01"]
    );
    for place in [1, 2] {
        let page = page(&deployment, place);
        let whole = found(&page, "drafting", "broken answers");
        assert_eq!(whole, "0; 3 whole, 0 left by their callers");
        let done = found(&page, "dispatch", "orders with unknown outcome");
        assert_eq!(done, "0; 4 done, 0 not run");
    }
}

#[test]
fn sums_survive_when_all_routers_end_at_once() {
    let mut deployment = start(Shape::three_zones());
    for place in 0..deployment.places() {
        send_order(&deployment, place, &format!("van-{place}"));
    }
    for place in 0..deployment.places() {
        deployment.shut_down(place).unwrap();
    }
    assert_eq!(orders(&kept(&deployment)), 3);
}

#[test]
fn sums_reach_the_gatherer_while_the_platform_is_down() {
    let mut shape = Shape::three_zones();
    shape.zones[0].routers = 2;
    let mut deployment = start(shape);
    // Whichever of both gathers, the other has to take over what it knows.
    for place in [0, 1] {
        send_chat(&deployment, place);
    }
    for place in [0, 1] {
        deployment.cut_off(place, true);
    }
    deployment.shut_down(1).unwrap();
    let expected = "0; 2 whole, 0 left by their callers";
    wait(&deployment, "the record has arrived", |deployment| {
        found(&page(deployment, 0), "drafting", "broken answers") == expected
    });
    deployment.cut_off(0, false);
    deployment.shut_down(0).unwrap();
    assert_eq!(answers(&kept(&deployment)), 2);
}

#[test]
fn doubled_and_late_records_count_once() {
    let mut shape = Shape::three_zones();
    shape.zones[0].routers = 2;
    let mut deployment = start(shape);
    send_order(&deployment, 0, "van-1");
    send_order(&deployment, 1, "van-2");
    deployment.shut_down(1).unwrap();
    let zone = kept_zone(&deployment, "barasat");
    let mut live = zone.live.values();
    let old = live.find(|record| record.member.host == "barasat-entry-2");
    let old = old.unwrap().clone();
    assert_eq!(old.sums.pools["dispatch"].orders.done, 1);

    // The next process on the host closes the record when it ends itself.
    deployment.replace(1).unwrap();
    deployment.wait_ready().unwrap();
    deployment.shut_down(1).unwrap();
    let zone = kept_zone(&deployment, "barasat");
    assert!(zone.closed.contains(&old.member));
    deployment.replace(1).unwrap();
    deployment.wait_ready().unwrap();

    let early = record("barasat-entry-8", 1, "barasat", 2);
    let later = record("barasat-entry-8", 1, "barasat", 5);
    let foreign = record("barasat-entry-7", 1, "habra", 9);
    let last = record("barasat-entry-9", 1, "barasat", 1);
    let copies = [&old, &old, &later, &early, &later, &foreign, &last];
    let gatherer = "barasat-entry-1".to_owned();
    for copy in copies {
        let message = PeerMessage::Record(Box::new(copy.clone()));
        let sent = deployment.router(1).endpoint().send(&gatherer, &message);
        sent.unwrap();
    }
    // Messages keep their order, so the last one tells that all have arrived.
    let expected = "0; 8 done, 0 not run";
    wait(&deployment, "the records have arrived", |deployment| {
        let page = page(deployment, 0);
        found(&page, "dispatch", "orders with unknown outcome") == expected
    });
    deployment.shut_down(0).unwrap();
    deployment.shut_down(1).unwrap();
    assert_eq!(orders(&kept(&deployment)), 2 + 5 + 1);
}

#[test]
fn poison_requests_and_the_servers_they_cost_are_counted() {
    let mut shape = Shape::three_zones();
    shape.zones.iter_mut().for_each(|zone| zone.engines = 2);
    let mut deployment = start(shape);
    for _ in 0..3 {
        for place in 0..deployment.places() {
            let answer = stream(&deployment, place, "crash-the-engine", 5);
            assert!(!answer.whole, "{answer:?}");
        }
    }
    let engines = deployment.engines().iter();
    let crashes: usize = engines.map(|engine| engine.crashes()).sum();
    assert!(crashes > 0);
    for place in 0..deployment.places() {
        deployment.shut_down(place).unwrap();
    }
    let total = kept(&deployment);
    let pool = &total.sums.pools["drafting"];
    assert_eq!((pool.poison, pool.lost), (1, crashes as u64));
    assert!(total.sums.fleet.refused["poison"] > 0);
    assert_eq!(pool.answers.whole, 0);
}

/// Puts a morning into the service, covered up to an interval.
fn put_morning(deployment: &Deployment, zone: &str, end: usize) {
    let mut morning = record(&format!("{zone}-morning"), 1, zone, 0);
    for interval in 0..end {
        morning.observe(interval, &Observation::Alive { span: INTERVAL });
    }
    let store = deployment.kv().store();
    let key = aggregator::zone_day_key(PREFIX, DAY, zone);
    wait(deployment, "the morning is put", |_| {
        let entry = store.get(&key).unwrap();
        let (version, mut day) = match &entry {
            Some(entry) => (entry.version, ZoneDay::decode(&entry.value).unwrap()),
            None => (0, ZoneDay::new(zone, DAY)),
        };
        day.merge(&morning);
        let op = Op::swap(key.clone(), day.encode().unwrap(), version);
        matches!(store.commit(&[op]), Ok(CommitResult::Applied(_)))
    });
}

/// Cuts a place off from the other zones and from the platform, or lets it through again.
fn cut_off(deployment: &Deployment, place: usize, cut: bool) {
    let zone = deployment.zone_of(place).to_owned();
    let zones = deployment.shape().zones.iter();
    for other in zones.filter(|other| other.name != zone) {
        let scope = BlockScope::Zone(other.name.clone());
        deployment.router(place).endpoint().set_blocked(scope, cut);
    }
    deployment.cut_off(place, cut);
}

fn names_outage(page: &Page, what: &str) -> bool {
    page.outages.iter().any(|outage| outage.what == what)
}

#[test]
fn what_was_hidden_is_a_gap_and_comes_in_later() {
    let mut deployment = start(Shape::three_zones());
    let unseen = 40;
    put_morning(&deployment, "barasat", NOON);
    put_morning(&deployment, "madhyamgram", NOON);
    put_morning(&deployment, "habra", unseen);
    let first = page(&deployment, 0);
    let gaps = first.gaps.iter();
    let gaps: Vec<_> = gaps.map(|gap| (gap.zone.as_str(), gap.first)).collect();
    assert_eq!(gaps, [("habra", unseen)]);
    assert_eq!(first.gaps[0].from, "10:00");
    assert!(!first.verdict.whole);
    assert!(first.verdict.sentence.contains("habra was not seen"));
    // Nobody counted slots in the morning: the plot has no value there, and no zero.
    assert!(first.pools.iter().all(|pool| pool.busy[unseen].is_none()));

    cut_off(&deployment, 2, true);
    wait(&deployment, "habra is out of reach", |deployment| {
        names_outage(&page(deployment, 0), "zone habra")
    });
    wait(&deployment, "the platform is out of reach", |deployment| {
        names_outage(&page(deployment, 2), "the key-value service")
    });
    send_chat(&deployment, 2);
    let alone = page(&deployment, 2);
    assert!(!alone.verdict.whole);
    assert!(alone.verdict.sentence.contains("did not answer"));
    assert!(alone.gaps.iter().any(|gap| gap.zone == "barasat"));
    assert_eq!(answers(&kept(&deployment)), 0);

    cut_off(&deployment, 2, false);
    deployment.shut_down(2).unwrap();
    let whole = found(&page(&deployment, 0), "drafting", "broken answers");
    assert_eq!(whole, "0; 1 whole, 0 left by their callers");
    assert!(names_outage(&page(&deployment, 0), "the key-value service"));
}

/// A question for a page that is none, or that has nothing.
struct Question {
    path: &'static str,
    status: u16,
    text: &'static str,
}

#[test]
fn pages_are_served_and_bad_days_refused() {
    let deployment = start(Shape::three_zones());
    let operators = deployment.router(0).operators();
    let questions = [
        Question {
            path: "/today",
            status: 200,
            text: "\"day\":\"2026-12-04\"",
        },
        Question {
            path: "/today?date=2026-12-01",
            status: 200,
            text: "Nothing was counted",
        },
        Question {
            path: "/today?date=yesterday",
            status: 400,
            text: "expected a day such as 2026-12-04",
        },
        Question {
            path: "/",
            status: 200,
            text: "<html",
        },
        Question {
            path: "/today.html?date=2026-12-01",
            status: 200,
            text: "Nothing was counted",
        },
    ];
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    for question in questions {
        let path = question.path;
        let mut answer = agent
            .get(format!("http://{operators}{path}"))
            .call()
            .unwrap();
        assert_eq!(answer.status().as_u16(), question.status, "{path}");
        let text = answer.body_mut().read_to_string().unwrap();
        assert!(text.contains(question.text), "{path}: {text}");
    }
}
