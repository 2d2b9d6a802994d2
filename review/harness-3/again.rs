//! Case 14: a request that crashes the servers that run it comes again with the same path, caller and body.

mod crashing;
mod http;
mod store;
mod world;

use crashing::{BAD_BODY, Change, MODEL, Place, SERVICE};
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
    Addresses, HostSettings, Record, has_trouble, record_path, start_host, temporary_folder,
    wait_until_ready,
};

const ZONE: &str = "zone-a";
const CONTACT: Duration = Duration::from_millis(3000);
const SERVERS: usize = 9;
const DOWN: Duration = Duration::from_secs(3);

// what is sent, by the time since the hosts were ready
const BAD_FROM: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(46);
const BAD_INTERVAL: Duration = Duration::from_millis(2000);
const SOUND_INTERVAL: Duration = Duration::from_millis(125);

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r1\",\"host\":\"case.example\",\
         \"path_prefix\":\"/gen/\",\"route_type\":\"streaming\",\"timeout_ms\":12000,\
         \"target_latency_ms\":500,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":2,\
         \"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":360,\
         \"engine\":{{\"slots\":32,\"kv_capacity_tokens\":134205,\"models\":[{{\"name\":\"{MODEL}\",\
         \"weights_mb\":65100.0,\"load_s\":0.6,\"adapters\":3000,\"adapter_mb\":66.0}}],\
         \"weights_mb\":67000.0,\"adapter_slots\":27,\"loads_per_s\":3.7}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
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
}

impl Run {
    // Sends a request at host `number`. The last part of its prompt is its own, as that of a session.
    fn send(self: &Arc<Self>, number: u64, is_bad: bool) -> JoinHandle<()> {
        let run = self.clone();
        thread::spawn(move || {
            let kind = if is_bad { "bad" } else { "sound" };
            let id = format!("{kind}{number:06x}");
            let same_own = is_bad && std::env::var("OWN").is_ok_and(|value| value == "same");
            let own = if same_own { 0 } else { number } + if is_bad { 0x2000_0000 } else { 0x1000_0000 };
            let body = if is_bad && has_trouble() { BAD_BODY.to_owned() } else { own.to_string() };
            let headers = [
                ("Host", "case.example".to_owned()),
                ("Request-Id", id.clone()),
                ("Model", MODEL.to_owned()),
                ("Token-Count", "240,40".to_owned()),
                ("Prompt-Prefix", format!("aa11:119,bb22:79,{own:x}:42")),
                ("Deadline-Ms", "12000".to_owned()),
            ]
            .map(|(name, value)| (name.to_owned(), value));
            let host = run.hosts[(number % run.hosts.len() as u64) as usize];
            let limit = Duration::from_secs(13);
            let answer = http::call(host, "POST", "/gen/x", &headers, body.as_bytes(), limit);
            let status = match &answer {
                Ok(answer) if answer.is_whole => answer.status,
                _ => 0,
            };
            run.record.write(&format!("answer request={id} status={status}"));
            if !is_bad {
                run.sound.fetch_add(1, Ordering::SeqCst);
                run.served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
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
    let folder = temporary_folder("again");
    let record = Arc::new(Record::create(&record_path("14")));
    let store = Store::start();
    store.write("keyed.op", "config", &config());
    let places: Vec<Place> = Addresses::free_list(SERVERS)
        .into_iter()
        .enumerate()
        .map(|(number, address)| Place::new(number, address))
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

fn play(run: &Arc<Run>, calls: &mut Vec<JoinHandle<()>>) {
    let started = Instant::now();
    let (mut sound, mut bad) = (0, 0);
    while started.elapsed() < END {
        sound += 1;
        calls.push(run.send(sound, false));
        if started.elapsed() >= BAD_FROM + BAD_INTERVAL * bad {
            bad += 1;
            calls.push(run.send(u64::from(bad), true));
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
         of {sound} sound requests served",
        crashes.len(),
        retries.len()
    );
    record.write(&line);
    println!("{line}");
    if sound < 100 || served < sound / 4 {
        return 2;
    }
    i32::from(retries.len() > 3)
}
