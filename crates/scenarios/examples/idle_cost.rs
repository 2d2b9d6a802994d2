//! Measures processor time, memory and log reads of idle entries and keepers, for several sizes of
//! deployment.

use {
    egret_runtime::{Body, Hello, Link, StatusMsg, now, serve_links},
    egret_scenarios::{Deployment, DeploymentSpec},
    std::{
        fs,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long each deployment is measured.
const MEASURE_PERIOD: Duration = Duration::from_secs(10);

/// Kernel clock ticks per second, the unit of a process's processor time.
const TICKS_PER_SECOND: f64 = 100.0;

fn cpu_ticks(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let field = |n: usize| fields.get(n).and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
    // user and system time; the fields are counted from the process state on
    field(11) + field(12)
}

fn resident_mb(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|v| v.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0 / 1e6
}

/// Calls that are made on one link.
const ROUND_TRIPS: u32 = 5000;

/// Measures the mean round trip of a call on a link as between an entry and a keeper, in
/// microseconds. The other end only sends the body back.
async fn measure_round_trip_us() -> u128 {
    let address: SocketAddr = "127.19.0.1:7100".parse().expect("an address");
    let echo = Arc::new(|_: Arc<Hello>, body: Body| Box::pin(async move { Some(body) }) as _);
    tokio::spawn(serve_links(address, "s".to_owned(), echo));
    let hello =
        Hello { host: "h".to_owned(), incarnation: 1, secret: "s".to_owned(), ..Hello::default() };
    let link = loop {
        match Link::connect(address, &hello, now().after_ms(1000)).await {
            Ok(link) => break link,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let started_at = Instant::now();
    for _ in 0..ROUND_TRIPS {
        let request = Body::Status(StatusMsg::default());
        link.call(request, now().after_ms(1000)).await.expect("the link answers");
    }
    started_at.elapsed().as_micros() / u128::from(ROUND_TRIPS)
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
    println!(
        "round trip from entry to keeper: {} microseconds",
        runtime.block_on(measure_round_trip_us())
    );
    println!(
        "hosts engines adapters | entry: % of a core, MB | keeper: % of a core, MB | log reads/s"
    );
    for (hosts, engines, adapters) in
        [(2, 8, 3000), (4, 8, 3000), (8, 8, 3000), (4, 32, 3000), (4, 8, 11_000)]
    {
        let spec = DeploymentSpec {
            hosts,
            engines,
            adapters,
            adapter_slots: 16,
            ..DeploymentSpec::small()
        };
        let mut deployment = Deployment::start(spec);
        let entry = deployment.process("entry-1").id();
        let keeper = deployment.process("keeper-1").id();
        let log = deployment.layout.log();
        let reads = |d: &Deployment| {
            d.get_json(log, "/stats").and_then(|s| s["reads"].as_f64()).unwrap_or(0.0)
        };
        let before = (cpu_ticks(entry), cpu_ticks(keeper), reads(&deployment));
        std::thread::sleep(MEASURE_PERIOD);
        let after = (cpu_ticks(entry), cpu_ticks(keeper), reads(&deployment));
        let cpu_percent =
            |ticks: f64| 100.0 * ticks / TICKS_PER_SECOND / MEASURE_PERIOD.as_secs_f64();
        println!(
            "{hosts:>5} {engines:>7} {adapters:>8} | {:>5.2} {:>6.1} | {:>5.2} {:>6.1} | {:>6.1}",
            cpu_percent(after.0 - before.0),
            resident_mb(entry),
            cpu_percent(after.1 - before.1),
            resident_mb(keeper),
            (after.2 - before.2) / MEASURE_PERIOD.as_secs_f64(),
        );
    }
}
