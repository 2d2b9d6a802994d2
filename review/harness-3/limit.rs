//! Case 15: servers leave some orders unanswered and carry them out late; a quarter of them crash meanwhile
//! and come back under their ids.

mod http;
mod late;
mod store;
mod world;

use late::{ADAPTER_SLOTS, EngineServer, MODEL, SERVICE};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use store::Store;
use world::{
    Addresses, HostSettings, Record, has_trouble, record_path, start_host, temporary_folder,
    wait_until_ready,
};

const ZONE: &str = "zone-a";
const ENGINES: usize = 12;
const CRASHED: usize = 3;
const ADAPTERS: u64 = 1000;
const CALLERS: u64 = 16;

// from the start of the calls
const LATE_FROM: Duration = Duration::from_secs(2);
const LATE_FOR: Duration = Duration::from_millis(5500);
const CRASH_AT: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(24);

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r1\",\"host\":\"case.example\",\
         \"path_prefix\":\"/gen/\",\"route_type\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":2,\
         \"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":530,\
         \"engine\":{{\"slots\":16,\"kv_capacity_tokens\":90157,\"models\":[{{\"name\":\"{MODEL}\",\
         \"weights_mb\":72700.0,\"load_s\":4.3,\"adapters\":10000,\"adapter_mb\":66.0}}],\
         \"weights_mb\":75000.0,\"adapter_slots\":{ADAPTER_SLOTS},\"loads_per_s\":26.0}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

struct Calls {
    next: AtomicU64,
    served: AtomicU64,
    is_over: AtomicBool,
}

// callers ask for one adapter after another, so that adapters are loaded and unloaded all the time
fn call_hosts(hosts: &[SocketAddr], calls: &Arc<Calls>, record: &Arc<Record>) {
    for _ in 0..CALLERS {
        let (hosts, calls, record) = (hosts.to_vec(), calls.clone(), record.clone());
        thread::spawn(move || {
            while !calls.is_over.load(Ordering::SeqCst) {
                let number = calls.next.fetch_add(1, Ordering::SeqCst);
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
                let limit = Duration::from_secs(7);
                let answer = http::call(host, "POST", "/gen/x", &headers, b"prompt", limit);
                let status = match &answer {
                    Ok(answer) if answer.is_whole => answer.status,
                    _ => 0,
                };
                calls.served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                record.write(&format!("answer request={id} status={status}"));
                thread::sleep(Duration::from_millis(150));
            }
        });
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn main() {
    let folder = temporary_folder("limit");
    let record = Arc::new(Record::create(&record_path("15")));
    let store = Store::start();
    store.write("keyed.op", "config", &config());
    let engines: Vec<_> = Addresses::free_list(ENGINES)
        .into_iter()
        .enumerate()
        .map(|(number, address)| {
            EngineServer::start(&format!("i-{number}"), ZONE, address, &store, &record)
        })
        .collect();
    let hosts: Vec<_> = ["front-1", "front-2", "front-3"]
        .iter()
        .map(|name| {
            let store = store.address;
            start_host(&HostSettings { name, zone: ZONE, store, is_first_start: true, folder: &folder })
        })
        .collect();
    if !hosts.iter().all(|host| wait_until_ready(host, Duration::from_secs(8))) {
        eprintln!("a host is not ready");
        drop(hosts);
        std::process::exit(2);
    }
    // the servers have owners by then
    thread::sleep(Duration::from_secs(2));
    let calls = Arc::new(Calls {
        next: AtomicU64::new(1),
        served: AtomicU64::new(0),
        is_over: AtomicBool::new(false),
    });
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let started = Instant::now();
    call_hosts(&addresses, &calls, &record);
    sleep_until(started + LATE_FROM);
    for engine in &engines {
        engine.set_late_until(started + LATE_FROM + LATE_FOR);
    }
    sleep_until(started + CRASH_AT);
    for engine in engines.iter().take(CRASHED).filter(|_| has_trouble()) {
        engine.crash(DOWN);
    }
    sleep_until(started + END);
    calls.is_over.store(true, Ordering::SeqCst);
    drop(hosts);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs in {}", folder.display());
    }
    let overloaded: Vec<&str> =
        engines.iter().filter(|engine| engine.has_overloaded()).map(|engine| &*engine.id).collect();
    let served = calls.served.load(Ordering::SeqCst);
    let orders: u64 = engines.iter().map(|engine| engine.orders()).sum();
    let line = format!(
        "{served} requests served, {orders} orders; servers that were ordered to load more than \
         {ADAPTER_SLOTS} adapters: {overloaded:?}"
    );
    record.write(&line);
    println!("{line}");
    let is_valid = served > 200 && orders > 200;
    std::process::exit(if !is_valid { 2 } else { i32::from(!overloaded.is_empty()) });
}
