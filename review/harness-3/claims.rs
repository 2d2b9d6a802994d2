//! Case 11: the store comes back from a copy without the latest claims on servers, and some time later a
//! machine is added.

mod engine;
mod http;
mod store;
mod world;

use engine::{EngineServer, MODEL, Order};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use store::Store;
use world::{HostSettings, Record, has_trouble, start_host, temporary_folder, wait_until_ready};

const ZONE: &str = "zone-a";
const LEASE: Duration = Duration::from_millis(3000);
const CONTACT: Duration = Duration::from_millis(3000);
const ENGINES: usize = 8;
const ADAPTERS: u64 = 160;

// all in seconds since the start
const ENGINES_AT: u64 = 4;
const COPY_AT: u64 = 3;
const DRILL_AT: u64 = 8;
const ADDED_AT: u64 = 20;
const END_AT: u64 = 34;

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r1\",\"host\":\"case.example\",\
         \"path_prefix\":\"/gen/\",\"route_type\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":1000,\"priority\":0,\"service\":\"{}\",\"max_attempts\":2,\
         \"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}}],\
         \"services\":[{{\"name\":\"{}\",\"health_path\":\"/health\",\"max_conns\":360,\
         \"engine\":{{\"slots\":32,\"kv_capacity_tokens\":134205,\"models\":[{{\"name\":\"{MODEL}\",\
         \"weights_mb\":72700.0,\"load_s\":0.6,\"adapters\":3000,\"adapter_mb\":66.0}}],\
         \"weights_mb\":75800.0,\"adapter_slots\":{},\"loads_per_s\":3.7}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        engine::SERVICE,
        engine::SERVICE,
        engine::ADAPTER_SLOTS
    )
}

fn sleep_until(record: &Record, seconds: u64) {
    let at = record.started + Duration::from_secs(seconds);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

struct Traffic {
    next: AtomicU64,
    served: AtomicU64,
    is_over: AtomicBool,
}

// callers ask for one adapter after another, so that adapters are loaded and unloaded all the time
fn call_hosts(hosts: Vec<SocketAddr>, traffic: &Arc<Traffic>, record: &Arc<Record>) {
    for caller in 0..12_u64 {
        let (hosts, traffic, record) = (hosts.clone(), traffic.clone(), record.clone());
        thread::spawn(move || {
            while !traffic.is_over.load(Ordering::SeqCst) {
                let number = traffic.next.fetch_add(1, Ordering::SeqCst);
                let adapter = number.wrapping_mul(7919) % ADAPTERS;
                let id = format!("q{number:08x}");
                let headers = [
                    ("Host", "case.example".to_owned()),
                    ("Request-Id", id.clone()),
                    ("Model", format!("{MODEL}/a{adapter}")),
                    ("Token-Count", "100,20".to_owned()),
                    ("Prompt-Prefix", format!("{:x}:60,{:x}:40", adapter + 1, number + 100_000)),
                    ("Deadline-Ms", "6000".to_owned()),
                ]
                .map(|(name, value)| (name.to_owned(), value));
                let host = hosts[(number % hosts.len() as u64) as usize];
                let answer =
                    http::call(host, "POST", "/gen/x", &headers, b"prompt", Duration::from_secs(7));
                let status = match &answer {
                    Ok(answer) if answer.is_whole => answer.status,
                    _ => 0,
                };
                traffic.served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                record.write(&format!("answer caller={caller} request={id} status={status}"));
                thread::sleep(Duration::from_millis(150));
            }
        });
    }
}

// an order, the one before it of another holder, and the milliseconds between them
type Turn = (Order, Order, u128);

// The turns of two holders at a server within the lease. Orders that the server refused because of the
// epoch number count as little as those of holders that are not in touch.
fn turns(orders: &[Order], in_touch: impl Fn(&Order) -> bool) -> Vec<Turn> {
    let counted: Vec<&Order> =
        orders.iter().filter(|order| order.status < 300 && in_touch(order)).collect();
    let mut found = Vec::new();
    for pair in counted.windows(2) {
        let between = pair[1].at.duration_since(pair[0].at);
        if pair[0].holder != pair[1].holder && between < LEASE {
            found.push((pair[0].clone(), pair[1].clone(), between.as_millis()));
        }
    }
    found
}

fn main() {
    let folder = temporary_folder("claims");
    let record = Arc::new(Record::create(Path::new("review/11/record.txt")));
    let store = Store::start();
    store.write("keyed.op", "config", &config());
    let start = |name: &str, is_first_start: bool| {
        let store = store.address;
        let host = start_host(&HostSettings { name, zone: ZONE, store, is_first_start, folder: &folder });
        record.write(&format!("host {name} started, callers at {}", host.callers));
        host
    };
    let mut hosts: Vec<_> = ["front-1", "front-2", "front-3"].map(|name| start(name, true)).into();
    sleep_until(&record, COPY_AT);
    let copy = store.copy();
    record.write("the copy is made from which the store may come back");
    sleep_until(&record, ENGINES_AT);
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| EngineServer::start(&format!("i-{number}"), ZONE, &store, &record))
        .collect();
    if !hosts.iter().all(|host| wait_until_ready(host, Duration::from_secs(6))) {
        eprintln!("a host is not ready");
        drop(hosts);
        std::process::exit(2);
    }
    let traffic = Arc::new(Traffic {
        next: AtomicU64::new(1),
        served: AtomicU64::new(0),
        is_over: AtomicBool::new(false),
    });
    call_hosts(hosts.iter().map(|host| host.callers).collect(), &traffic, &record);
    sleep_until(&record, DRILL_AT);
    for (key, value) in store.newest("keyed.egretshore", "engine/") {
        record.write(&format!("before the drill {key} {value}"));
    }
    if has_trouble() {
        record.write("drill: the store is away");
        store.set_away(true);
        thread::sleep(Duration::from_millis(500));
        store.restore(copy);
        store.set_away(false);
        record.write("drill: the store is back from the copy");
    }
    let stable_from = Instant::now() + CONTACT;
    sleep_until(&record, ADDED_AT);
    for (key, value) in store.newest("keyed.egretshore", "engine/") {
        record.write(&format!("before the machine is added {key} {value}"));
    }
    hosts.push(start(&std::env::var("ADDED").unwrap_or("front-8".to_owned()), false));
    sleep_until(&record, END_AT);
    traffic.is_over.store(true, Ordering::SeqCst);
    for (key, value) in store.newest("keyed.egretshore", "engine/") {
        record.write(&format!("at the end {key} {value}"));
    }
    let in_touch = |order: &Order| {
        let host = hosts.iter().find(|host| host.name == order.holder);
        order.at >= stable_from && host.is_some_and(|host| order.at >= host.started + CONTACT)
    };
    let mut count = 0;
    for engine in &engines {
        for (before, after, ms) in turns(&engine.orders(), in_touch) {
            count += 1;
            let line = format!(
                "ONE: server {} got an order of {} (epoch number {}) {ms} ms after one of {} (epoch \
                 number {}), at {} ms",
                engine.id, after.holder, after.fence, before.holder, before.fence, record.ms(after.at)
            );
            record.write(&line);
            println!("{line}");
        }
        if engine.has_crashed() {
            println!("server {} was ordered to load more than it holds", engine.id);
        }
    }
    let served = traffic.served.load(Ordering::SeqCst);
    let orders: usize = engines.iter().map(|engine| engine.orders().len()).sum();
    let line = format!("{served} requests served, {orders} orders, {count} turns within the lease");
    record.write(&line);
    println!("{line}");
    drop(hosts);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs in {}", folder.display());
    }
    let is_valid = served > 100 && orders > 100;
    std::process::exit(if !is_valid { 2 } else { i32::from(count > 0) });
}
