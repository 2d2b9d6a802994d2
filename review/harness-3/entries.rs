//! Case 11: another writer's entries stand under the ids of a service's servers until their next heartbeats.

mod crashing;
mod http;
mod store;
mod world;

use crashing::{CRASHING_SERVICE as SERVICE, Change, Place, entry};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use store::Store;
use world::{
    Addresses, HostSettings, Record, has_trouble, record_path, start_host, temporary_folder, unix_ms,
    wait_until_ready,
};

const ZONE: &str = "zone-a";
const RECOVERY: Duration = Duration::from_millis(12_000);
const SERVERS: usize = 3;
const DOWN: Duration = Duration::from_secs(3);

// what happens, by the time since the hosts were ready
const WRITE_AT: Duration = Duration::from_secs(20);
// with KILL, one host or all are killed then, and started again
const KILL_AT: Duration = Duration::from_secs(23);
const END: Duration = Duration::from_secs(56);
const SEND_INTERVAL: Duration = Duration::from_millis(125);

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r1\",\"host\":\"case.example\",\"path_prefix\":\"/v/\",\
         \"route_type\":\"safe\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":100}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

// a request of a client: when it was sent, and whether it was served
type Sent = (Instant, bool);

struct Run {
    record: Arc<Record>,
    hosts: Mutex<Vec<SocketAddr>>,
    sent: Mutex<Vec<Sent>>,
}

impl Run {
    fn send(self: &Arc<Self>, number: u64) -> JoinHandle<()> {
        let run = self.clone();
        thread::spawn(move || {
            let id = format!("r{number:06x}");
            let headers = [
                ("Host", "case.example".to_owned()),
                ("Request-Id", id.clone()),
                ("Deadline-Ms", "3000".to_owned()),
            ]
            .map(|(name, value)| (name.to_owned(), value));
            let host = {
                let hosts = run.hosts.lock().unwrap();
                hosts[(number % hosts.len() as u64) as usize]
            };
            let sent_at = Instant::now();
            let path = format!("/v/{number}");
            let answer = http::call(host, "GET", &path, &headers, b"", Duration::from_secs(4));
            let status = match &answer {
                Ok(answer) if answer.is_whole => answer.status,
                _ => 0,
            };
            run.record.write(&format!("answer request={id} status={status}"));
            run.sent.lock().unwrap().push((sent_at, status == 200));
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
    let folder = temporary_folder("entries");
    let record = Arc::new(Record::create(&record_path("11")));
    let store = Store::start();
    store.write("keyed.op", "config", &config());
    let addresses = Addresses::free_list(SERVERS);
    let elsewhere = Addresses::free_list(SERVERS);
    let places: Vec<Place> = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| Place::of_service(SERVICE, number, *address))
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let live_ids = Arc::new(Mutex::new(vec![String::new(); SERVERS]));
    let keeper = keep_servers(places, &store, &record, &live_ids, &is_over);
    let settings = |name, is_first_start| HostSettings {
        name,
        zone: ZONE,
        store: store.address,
        is_first_start,
        folder: &folder,
    };
    let names = ["front-1", "front-2", "front-3", "front-4"];
    let mut hosts: Vec<_> = names.iter().map(|name| start_host(&settings(name, true))).collect();
    let are_ready = hosts.iter().all(|host| wait_until_ready(host, Duration::from_secs(8)));
    let run = Arc::new(Run {
        record: record.clone(),
        hosts: Mutex::new(hosts.iter().map(|host| host.callers).collect()),
        sent: Mutex::default(),
    });
    let mut code = 2;
    if are_ready {
        thread::sleep(Duration::from_secs(1));
        let started = Instant::now();
        let written_at = started + WRITE_AT;
        let (mut calls, mut number, mut is_written) = (Vec::new(), 0, false);
        let mut to_kill = match std::env::var("KILL").as_deref() {
            Ok("one") => 1,
            Ok("all") => hosts.len(),
            _ => 0,
        };
        while started.elapsed() < END {
            if !is_written && Instant::now() >= written_at {
                is_written = true;
                if has_trouble() {
                    write_entries(&store, &record, &live_ids.lock().unwrap(), &elsewhere);
                }
            }
            if to_kill > 0 && started.elapsed() >= KILL_AT {
                hosts.drain(..to_kill);
                for name in &names[..to_kill] {
                    record.write(&format!("host {name} is killed and started again"));
                    hosts.push(start_host(&settings(name, false)));
                }
                to_kill = 0;
                *run.hosts.lock().unwrap() = hosts.iter().map(|host| host.callers).collect();
            }
            number += 1;
            calls.push(run.send(number));
            sleep_until(started + SEND_INTERVAL * number as u32);
        }
        for call in calls {
            let _ = call.join();
        }
        code = judge(&run, written_at);
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = keeper.join();
    drop(hosts);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs in {}", folder.display());
    }
    std::process::exit(code);
}

// One entry under the id of each live server, once. It is complete, and its service is in no config.
fn write_entries(store: &Store, record: &Record, ids: &[String], addresses: &[SocketAddr]) {
    for (id, address) in ids.iter().zip(addresses) {
        let mut value = entry("elsewhere", &address.to_string(), ZONE, unix_ms());
        if std::env::var("FORM").is_ok_and(|form| form == "draining") {
            value = value.replace("ready", "draining");
        }
        store.write("keyed.servers", id, &value);
        record.write(&format!("another writer: {id} {value}"));
    }
}

fn keep_servers(
    mut places: Vec<Place>,
    store: &Arc<Store>,
    record: &Arc<Record>,
    live_ids: &Arc<Mutex<Vec<String>>>,
    is_over: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (store, record, is_over) = (store.clone(), record.clone(), is_over.clone());
    let live_ids = live_ids.clone();
    thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) {
            for (number, place) in places.iter_mut().enumerate() {
                match place.observe(ZONE, store.address, DOWN) {
                    Change::None => {}
                    Change::Started(id) => {
                        record.write(&format!("server {id} started"));
                        live_ids.lock().unwrap()[number] = id;
                    }
                    Change::Ended(id) => record.write(&format!("server {id} ended")),
                    Change::Lapsed(id) => store.write("keyed.servers", &id, ""),
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

fn judge(run: &Run, written_at: Instant) -> i32 {
    let sent = run.sent.lock().unwrap();
    let share = |of: Vec<&Sent>| {
        let served = of.iter().filter(|(_, is_served)| *is_served).count();
        (served, of.len())
    };
    let (served_before, before) = share(sent.iter().filter(|(at, _)| *at < written_at).collect());
    let (served_after, after) =
        share(sent.iter().filter(|(at, _)| *at > written_at + RECOVERY).collect());
    let line = format!(
        "{served_before} of {before} requests were served before the entries, {served_after} of {after} sent \
         later than recovery_s after them"
    );
    run.record.write(&line);
    println!("{line}");
    if before < 100 || after < 100 || served_before * 4 < before {
        return 2;
    }
    i32::from(served_after * 4 < after)
}
