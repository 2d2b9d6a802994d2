//! Case 12: a part of prompts crashes servers, after a pause of the sound requests that share two other
//! parts with it.

mod crashing;
mod http;
mod store;
mod world;

use crashing::{BAD_PART, Change, MODEL, Place, SERVICE};
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
    Addresses, HostSettings, Record, has_trouble, record_path, start_host, temporary_folder,
    wait_until_ready,
};

const ZONE: &str = "zone-a";
const CONTACT: Duration = Duration::from_millis(3000);
const SERVERS: usize = 9;
const DOWN: Duration = Duration::from_secs(3);

// what is sent, by the time since the hosts were ready
const CALM: Duration = Duration::from_secs(8);
const BAD_FROM: Duration = Duration::from_secs(20);
const SOUND_FROM: Duration = Duration::from_secs(23);
const END: Duration = Duration::from_secs(100);
const CALM_INTERVAL: Duration = Duration::from_millis(250);
const BAD_INTERVAL: Duration = Duration::from_millis(100);
const SOUND_INTERVAL: Duration = Duration::from_millis(2000);

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

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Instant,
    status: u16,
}

struct Run {
    record: Arc<Record>,
    hosts: Vec<SocketAddr>,
    sound: Mutex<Vec<Sent>>,
}

impl Run {
    // sends a request at host `number`, whose last part is its own
    fn send(self: &Arc<Self>, number: u64, is_bad: bool) -> JoinHandle<()> {
        let run = self.clone();
        thread::spawn(move || {
            let kind = if is_bad { "bad" } else { "sound" };
            let id = format!("{kind}{number:06x}");
            let middle = if is_bad { format!("{BAD_PART}:30,") } else { String::new() };
            let own = number + if is_bad { 0x2000_0000 } else { 0x1000_0000 };
            let headers = [
                ("Host", "case.example".to_owned()),
                ("Request-Id", id.clone()),
                ("Model", MODEL.to_owned()),
                ("Token-Count", "240,40".to_owned()),
                ("Prompt-Prefix", format!("aa11:119,bb22:79,{middle}{own:x}:42")),
                ("Deadline-Ms", "12000".to_owned()),
            ]
            .map(|(name, value)| (name.to_owned(), value));
            let host = run.hosts[(number % run.hosts.len() as u64) as usize];
            let at = Instant::now();
            let limit = Duration::from_secs(13);
            let answer = http::call(host, "POST", "/gen/x", &headers, own.to_string().as_bytes(), limit);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            run.record.write(&format!("answer request={id} status={status}"));
            if !is_bad {
                run.sound.lock().unwrap().push(Sent { at, status });
            }
        })
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn share(sent: &[Sent]) -> f64 {
    let begun = sent.iter().filter(|sent| sent.status == 200).count();
    begun as f64 / sent.len().max(1) as f64
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|argument| argument == "server") {
        crashing::run(&arguments[2..]);
    }
    let folder = temporary_folder("parts");
    let record = Arc::new(Record::create(&record_path("12")));
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
        sound: Mutex::default(),
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
    let mut number = 0;
    while started.elapsed() < CALM {
        number += 1;
        calls.push(run.send(number, false));
        thread::sleep(CALM_INTERVAL);
    }
    sleep_until(started + BAD_FROM);
    let bad = {
        let run = run.clone();
        thread::spawn(move || {
            let mut calls = Vec::new();
            for number in 0.. {
                let at = started + BAD_FROM + BAD_INTERVAL * number;
                if at >= started + END || !has_trouble() {
                    break;
                }
                sleep_until(at);
                calls.push(run.send(u64::from(number), true));
            }
            for call in calls {
                let _ = call.join();
            }
        })
    };
    for count in 0.. {
        let at = started + SOUND_FROM + SOUND_INTERVAL * count;
        if at >= started + END {
            break;
        }
        sleep_until(at);
        number += 1;
        calls.push(run.send(number, false));
    }
    let _ = bad.join();
}

fn judge(run: &Run, store: &Store) -> i32 {
    let record = &run.record;
    let notes = store.notes();
    for (at, text) in &notes {
        record.write(&format!("at {} ms: {text}", record.ms(*at)));
    }
    let crashes: Vec<Instant> =
        notes.iter().filter(|(_, text)| text.starts_with("crash")).map(|(at, _)| *at).collect();
    let sound = run.sound.lock().unwrap();
    let calm_until = sound.iter().map(|sent| sent.at).min().expect("requests were sent") + CALM;
    let calm: Vec<Sent> = sound.iter().filter(|sent| sent.at <= calm_until).copied().collect();
    let judged_from = match crashes.get(4).or(crashes.last()) {
        Some(at) => *at + 2 * CONTACT,
        None => calm_until,
    };
    let judged: Vec<Sent> =
        sound.iter().filter(|sent| sent.at > calm_until && sent.at >= judged_from).copied().collect();
    let line = format!(
        "{} crashes; sound requests that began at the first attempt: {:.2} of {} in calm, {:.2} of {} later \
         than 2 x contact_ms after the fifth crash",
        crashes.len(),
        share(&calm),
        calm.len(),
        share(&judged),
        judged.len()
    );
    record.write(&line);
    println!("{line}");
    if calm.len() < 20 || judged.len() < 20 || share(&calm) < 0.9 {
        return 2;
    }
    i32::from(share(&judged) < share(&calm) / 2.0)
}
