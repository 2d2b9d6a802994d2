//! Case 13: a request crashes the servers of one service, one with the same path and an empty body at another
//! host's service is sound.

mod crashing;
mod http;
mod store;
mod world;

use crashing::{BAD_PATH, CRASHING_SERVICE, Change, Place};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use store::Store;
use world::{
    Addresses, HostSettings, Record, record_path, start_host, temporary_folder, wait_until_ready,
};

const ZONE: &str = "zone-a";
const CONTACT: Duration = Duration::from_millis(3000);
const SERVERS_EACH: usize = 3;
const DOWN: Duration = Duration::from_secs(3);
const OTHER_SERVICE: &str = "second";

// what is sent, by the time since the hosts were ready
const BAD_FROM: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(66);
const LATE_FROM: Duration = Duration::from_secs(20);
const BAD_INTERVAL: Duration = Duration::from_secs(4);
const SOUND_INTERVAL: Duration = Duration::from_millis(125);

fn config() -> String {
    let route = |service: &str| {
        format!(
            "{{\"name\":\"{service}\",\"host\":\"{service}.example\",\"path_prefix\":\"/v/\",\
             \"route_type\":\"safe\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":0,\
             \"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":100}}")
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route(CRASHING_SERVICE),
        route(OTHER_SERVICE),
        service(CRASHING_SERVICE),
        service(OTHER_SERVICE)
    )
}

// a request that has reached a server
struct Arrival {
    at: Instant,
    // one for all sends of a request of a client
    request: String,
}

struct Run {
    record: Arc<Record>,
    hosts: Vec<SocketAddr>,
    sound: AtomicU64,
    served: AtomicU64,
    // of the sound ones, those with the path that crashes the first service's servers
    same_path: AtomicU64,
    same_path_served: AtomicU64,
}

impl Run {
    // sends a request of `kind` at host `number`
    fn send(self: &Arc<Self>, kind: &'static str, number: u64, service: &str, path: &str) -> JoinHandle<()> {
        let (run, path) = (self.clone(), path.to_owned());
        let id = format!("{kind}{number:06x}");
        let headers = [
            ("Host", format!("{service}.example")),
            ("Request-Id", id.clone()),
            ("Deadline-Ms", "3000".to_owned()),
        ]
        .map(|(name, value)| (name.to_owned(), value));
        thread::spawn(move || {
            let host = run.hosts[(number % run.hosts.len() as u64) as usize];
            let answer = http::call(host, "GET", &path, &headers, b"", Duration::from_secs(4));
            let status = match &answer {
                Ok(answer) if answer.is_whole => answer.status,
                _ => 0,
            };
            run.record.write(&format!("answer request={id} status={status}"));
            if kind != "bad" {
                run.sound.fetch_add(1, Ordering::SeqCst);
                run.served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
            }
            if kind == "same" {
                run.same_path.fetch_add(1, Ordering::SeqCst);
                run.same_path_served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
            }
        })
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|argument| argument == "server") {
        crashing::run(&arguments[2..]);
    }
    let folder = temporary_folder("apart");
    let record = Arc::new(Record::create(&record_path("13")));
    let store = Store::start();
    store.write("keyed.op", "config", &config());
    let places: Vec<Place> = Addresses::free_list(2 * SERVERS_EACH)
        .into_iter()
        .enumerate()
        .map(|(number, address)| {
            let service = if number < SERVERS_EACH { CRASHING_SERVICE } else { OTHER_SERVICE };
            Place::of_service(service, number, address)
        })
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let keeper = keep_servers(places, &store, &record, &is_over);
    let hosts: Vec<_> = ["front-1", "front-2", "front-3", "front-4"]
        .iter()
        .map(|name| {
            let store = store.address;
            start_host(&HostSettings { name, zone: ZONE, store, is_first_start: true, folder: &folder })
        })
        .collect();
    let are_ready = hosts.iter().all(|host| wait_until_ready(host, Duration::from_secs(8)));
    let run = Arc::new(Run {
        record: record.clone(),
        hosts: hosts.iter().map(|host| host.callers).collect(),
        sound: AtomicU64::new(0),
        served: AtomicU64::new(0),
        same_path: AtomicU64::new(0),
        same_path_served: AtomicU64::new(0),
    });
    let mut calls = Vec::new();
    if are_ready {
        thread::sleep(Duration::from_secs(1));
        play(&run, &mut calls);
    }
    for call in calls {
        let _ = call.join();
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = keeper.join();
    drop(hosts);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs in {}", folder.display());
    }
    let code = if are_ready { judge(&run, &store) } else { 2 };
    std::process::exit(code);
}

fn keep_servers(
    mut places: Vec<Place>,
    store: &Arc<Store>,
    record: &Arc<Record>,
    is_over: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (store, record, is_over) = (store.clone(), record.clone(), is_over.clone());
    thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) {
            for place in &mut places {
                match place.observe(ZONE, store.address, DOWN) {
                    Change::None => {}
                    Change::Started(id) => record.write(&format!("server {id} started")),
                    Change::Ended(id) => record.write(&format!("server {id} ended")),
                    Change::Lapsed(id) => store.write("keyed.servers", &id, ""),
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

// Sound requests go to both services in turn. Each fourth of those to the other service has the path that
// ends the servers of the first one: none with OTHER=none, those after LATE_FROM with OTHER=late.
fn play(run: &Arc<Run>, calls: &mut Vec<JoinHandle<()>>) {
    let same_path_from = match std::env::var("OTHER").as_deref() {
        Ok("none") => END,
        Ok("late") => LATE_FROM,
        _ => Duration::ZERO,
    };
    let started = Instant::now();
    let (mut sound, mut bad) = (0, 0);
    while started.elapsed() < END {
        sound += 1;
        let service = if sound % 2 == 0 { OTHER_SERVICE } else { CRASHING_SERVICE };
        let is_same = sound % 8 == 0 && started.elapsed() >= same_path_from;
        let (kind, path) =
            if is_same { ("same", BAD_PATH.to_owned()) } else { ("sound", format!("/v/{sound}")) };
        // the hosts get requests of each kind in turn
        calls.push(run.send(kind, sound / 8 + sound, service, &path));
        if started.elapsed() >= BAD_FROM + BAD_INTERVAL * bad {
            bad += 1;
            calls.push(run.send("bad", u64::from(bad), CRASHING_SERVICE, BAD_PATH));
        }
        sleep_until(started + SOUND_INTERVAL * sound as u32);
    }
}

fn judge(run: &Run, store: &Store) -> i32 {
    let record = &run.record;
    let mut crashes = Vec::new();
    for (at, text) in store.notes() {
        if let Some(request) = text.strip_prefix("crash ").and_then(|text| text.split("request=").nth(1)) {
            record.write(&format!("at {} ms: {text}", record.ms(at)));
            crashes.push(Arrival { at, request: request.to_owned() });
        }
    }
    let sound = run.sound.load(Ordering::SeqCst);
    let served = run.served.load(Ordering::SeqCst);
    let judged_from = crashes.get(2).map(|crash| crash.at + CONTACT);
    let late = crashes.iter().filter(|crash| judged_from.is_some_and(|from| crash.at > from));
    let mut retries: Vec<&str> = late.map(|crash| crash.request.as_str()).collect();
    retries.dedup();
    let line = format!(
        "{} crashes; {} retries reached servers later than contact_ms after the third (3 are allowed); {served} \
         of {sound} sound requests served, {} of {} with the same path",
        crashes.len(),
        retries.len(),
        run.same_path_served.load(Ordering::SeqCst),
        run.same_path.load(Ordering::SeqCst)
    );
    record.write(&line);
    println!("{line}");
    if sound < 100 || served < sound / 4 {
        return 2;
    }
    i32::from(retries.len() > 3)
}
