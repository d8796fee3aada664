//! Three routers in three availability zones and stand-ins for everything else, in one process.
//!
//! Sends real requests, shows an answer as it streams, and prints commands that work against the
//! running fleet until Ctrl-C. With `--once` it ends by itself.

use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use primrose_local::chat_body;
use primrose_local::Client;
use primrose_local::Deployment;
use primrose_local::Shape;

/// Longest wait for one router's operator before the next one is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// Output tokens of the request that is shown.
const TOKENS: u64 = 24;

fn main() -> ExitCode {
    let once = std::env::args().any(|argument| argument == "--once");
    match run(once) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(once: bool) -> Result<(), Box<dyn std::error::Error>> {
    let deployment = Deployment::start(Shape::three_zones())?;
    println!("Started three routers, one in each availability zone:");
    for place in 0..deployment.places() {
        let router = deployment.router(place);
        let (zone, callers) = (deployment.zone_of(place), router.callers());
        println!(
            "  {zone}: callers {callers}, operators {}",
            router.operators()
        );
    }
    let account = deployment.shape().accounts[0].name.clone();
    let bearer = deployment.bearer(&account);
    show_stream(&deployment, &bearer)?;
    show_orders(&deployment, &bearer)?;
    show_commands(&deployment, &bearer);
    if !once {
        println!("\nRunning until Ctrl-C.");
        serve(deployment);
    }
    Ok(())
}

/// Runs until all routers have been drained by operators.
fn serve(mut deployment: Deployment) {
    let running = |deployment: &Deployment| {
        let places = 0..deployment.places();
        places
            .filter(|place| deployment.is_running(*place))
            .collect::<Vec<_>>()
    };
    loop {
        let places = running(&deployment);
        if places.is_empty() {
            return;
        }
        for place in places {
            if deployment
                .router(place)
                .drain_requested()
                .recv_timeout(LOOK)
                .is_ok()
            {
                deployment.shut_down(place);
                println!("Shut down router {place}, as an operator asked");
            }
        }
    }
}

fn show_stream(deployment: &Deployment, bearer: &str) -> std::io::Result<()> {
    println!("\nAsked for a rota notice; the answer as it streams:");
    let client = Client::new(bearer);
    let body = chat_body("draft a rota notice", TOKENS, None, true);
    let router = deployment.router(0).callers();
    let mut shown = 0;
    let answer = client.stream(router, &body, "notice-1", &**deployment.clock(), |event| {
        if let Some(text) = content(event) {
            print!("{text}");
            shown += 1;
            // The point is to see each token as it comes.
            let _ = std::io::stdout().flush();
        }
    })?;
    println!("\nReceived {shown} tokens, whole: {}", answer.whole);
    Ok(())
}

fn content(event: &str) -> Option<String> {
    let event: serde_json::Value = serde_json::from_str(event).ok()?;
    let text = &event["choices"][0]["delta"]["content"];
    text.as_str().map(str::to_owned)
}

fn show_orders(deployment: &Deployment, bearer: &str) -> std::io::Result<()> {
    println!("\nSent one order through two routers with the same idempotency key:");
    let client = Client::new(bearer);
    for place in [1, 2] {
        let router = deployment.router(place).callers();
        let answer = client.order(router, "van-12", "{\"van\": 12}")?;
        println!(
            "  {}: {} {}",
            deployment.zone_of(place),
            answer.status,
            answer.outcome
        );
    }
    let runs: usize = deployment
        .plains()
        .iter()
        .map(|plain| plain.runs_of("van-12"))
        .sum();
    println!("Ran {runs} time(s), by the services' own record");
    Ok(())
}

fn show_commands(deployment: &Deployment, bearer: &str) {
    let router = deployment.router(0);
    let operators: Vec<String> = (0..deployment.places())
        .map(|place| deployment.router(place).operators().to_string())
        .collect();
    println!("\nTry:");
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {bearer}' -d '{}'",
        router.callers(),
        chat_body("hello", TOKENS, None, true),
    );
    println!(
        "  curl -i http://{}/orders -H 'authorization: Bearer {bearer}' -H 'idempotency-key: van-13' -d '{{}}'",
        router.callers(),
    );
    println!(
        "  primrosectl status --router {}",
        operators.join(" --router ")
    );
    println!("  primrosectl show --platform {}", deployment.kv().addr());
    println!("  curl http://{}/metrics", router.operators());
}
