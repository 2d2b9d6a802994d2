//! The cases. Each returns whether the rule held; none if the case could not run.

use {
    crate::{
        http::{End, Events, read_stream},
        proxy::Proxy,
        scene::{Scene, send},
        server::whole_body,
        util::{Record, free_address, unix_ms},
    },
    std::{
        net::SocketAddr,
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

pub const LIMITS: &str = "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
                          \"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}";

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A server crashes behind a cut, and starts again, while an answer without length is on its way.
pub fn reborn_server(record: &Record, folder: &Path, has_trouble: bool) -> Option<bool> {
    const TIME_LIMIT_MS: u64 = 4000;
    const ROUNDS: usize = 4;
    let mut scene = Scene::start(record.clone(), folder);
    scene.store.write(
        "keyed.op",
        "config",
        &format!(
            "{{\"version\":1,\"routes\":[{{\"name\":\"kiln-reserve\",\"host\":\"kilns.example\",\
             \"path_prefix\":\"/reserve/\",\"route_type\":\"unsafe\",\"timeout_ms\":4000,\
             \"target_latency_ms\":300,\"priority\":0,\"max_attempts\":2,\"service\":\"booking-desk\"}}],\
             \"services\":[{{\"name\":\"booking-desk\",\"max_conns\":460,\"health_path\":\"/health\"}}],\
             {LIMITS}}}"
        ),
    );
    let addresses: Vec<SocketAddr> = (0..4).map(|_| free_address("127.0.2.1")).collect();
    let proxies: Vec<Proxy> = addresses.iter().map(|to| Proxy::start("127.0.2.2", *to)).collect();
    let mut ids: Vec<String> = (0..4).map(|n| format!("i-desk-{n}-0")).collect();
    let start = |scene: &mut Scene, n: usize, id: &str| {
        let reached_at = proxies[n].address.to_string();
        let args = ["--service", "booking-desk", "--reached-at", &reached_at, "--work-ms", "900"];
        scene.start_server(id, addresses[n], &args);
    };
    for (n, id) in ids.iter().enumerate() {
        start(&mut scene, n, id);
    }
    for number in 1..=2 {
        scene.start_edge(number);
    }
    if !scene.wait_until_ready(Duration::from_secs(15))
        || !scene.wait_for_servers(Duration::from_secs(10))
    {
        return None;
    }
    sleep_ms(3000);
    let (mut is_kept, mut successes) = (true, 0);
    for round in 0..ROUNDS {
        let hosts: Vec<SocketAddr> = scene.edges.iter().map(|edge| edge.callers).collect();
        let clients: Vec<_> = (0..8)
            .map(|n| {
                let (record, host) = (record.clone(), hosts[n % hosts.len()]);
                let id = format!("reserve-{round}-{n}");
                thread::spawn(move || {
                    let head = "POST /reserve/slot HTTP/1.1\r\nHost: kilns.example\r\n";
                    let answer = send(&record, host, &id, head, b"kiln 7", TIME_LIMIT_MS);
                    (id, answer)
                })
            })
            .collect();
        sleep_ms(400);
        if has_trouble {
            // one server in four is partitioned from all machines
            let n = round % proxies.len();
            record.line(&format!("trouble: {} is partitioned from all hosts", ids[n]));
            proxies[n].set_cut(true);
            sleep_ms(100);
            record.line(&format!("trouble: {} crashes behind the cut", ids[n]));
            scene.kill_server(&ids[n]);
            sleep_ms(2000);
            ids[n] = format!("i-desk-{n}-{}", round + 1);
            record.line(&format!("trouble: it starts again as {}", ids[n]));
            let id = ids[n].clone();
            start(&mut scene, n, &id);
            sleep_ms(300);
            record.line("trouble: the cut heals");
            proxies[n].set_cut(false);
        }
        for client in clients {
            let (id, answer) = client.join().ok()?;
            let Ok(answer) = answer else {
                continue;
            };
            let is_success = (200..300).contains(&answer.status) && answer.is_whole;
            successes += usize::from(is_success);
            if is_success && answer.body != whole_body(&id) {
                is_kept = false;
                record.line(&format!(
                    "BROKEN: {id} is a success with {} of the server's {} bytes",
                    answer.body.len(),
                    whole_body(&id).len()
                ));
            }
        }
        sleep_ms(4000);
    }
    record.line(&format!("successes: {successes}"));
    (successes > 0).then_some(is_kept)
}

const CONTACT_MS: u64 = 4000;

fn engine_config(version: u64, models: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"glaze-advice\",\"host\":\"glaze.example\",\
         \"path_prefix\":\"/advice/\",\"route_type\":\"streaming\",\"resumable\":true,\"sticky\":true,\
         \"timeout_ms\":12000,\"target_latency_ms\":800,\"gap_target_ms\":300,\"priority\":1,\
         \"max_attempts\":3,\"service\":\"potter-assist\"}}],\
         \"services\":[{{\"name\":\"potter-assist\",\"max_conns\":530,\"health_path\":\"/health\",\
         \"engine\":{{\"slots\":16,\"adapter_slots\":13,\"weights_mb\":75000,\"loads_per_s\":26.0,\
         \"models\":[{models}]}}}}],{LIMITS}}}"
    )
}

const ONE_MODEL: &str = "{\"name\":\"clay\",\"weights_mb\":72700,\"load_s\":4.3,\"adapters\":0,\
                         \"adapter_mb\":40}";

fn advice_head(prompt: &str) -> String {
    format!(
        "POST /advice/draft HTTP/1.1\r\nHost: glaze.example\r\nModel: clay\r\n\
         Token-Count: 826,288\r\nPrompt-Prefix: {prompt}\r\n"
    )
}

/// One part of a prompt crashes each server that begins to write an answer on it.
pub fn crashing_part(
    record: &Record,
    folder: &Path,
    has_trouble: bool,
    kills_hosts: bool,
) -> Option<bool> {
    let mut scene = Scene::start(record.clone(), folder);
    scene.store.write("keyed.op", "config", &engine_config(1, ONE_MODEL));
    let crashes = has_trouble || kills_hosts;
    let poison = if crashes { "dead01:" } else { "" };
    let args = ["--service", "potter-assist", "--models", "clay=72700", "--poison", poison];
    let addresses: Vec<SocketAddr> = (0..9).map(|_| free_address("127.0.2.1")).collect();
    for (n, address) in addresses.iter().enumerate() {
        scene.start_server(&format!("i-assist-{n}-0"), *address, &args);
    }
    for number in 1..=4 {
        scene.start_edge(number);
    }
    if !scene.wait_until_ready(Duration::from_secs(15))
        || !scene.wait_for_servers(Duration::from_secs(10))
    {
        return None;
    }
    sleep_ms(4000);
    let hosts: Vec<SocketAddr> = scene.edges.iter().map(|edge| edge.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    let send_one = {
        let (record, hosts, sent) = (record.clone(), hosts, sent);
        move |kind: &'static str, part: &str| {
            let n = sent.fetch_add(1, Ordering::SeqCst);
            let (record, host) = (record.clone(), hosts[n % hosts.len()]);
            let head = advice_head(&format!("aa11:198,{part}:400,{n:08x}:228"));
            thread::spawn(move || send(&record, host, &format!("{kind}-{n}"), &head, b"{}", 8000))
        }
    };
    let sound = {
        let (is_over, send_one) = (is_over.clone(), send_one.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                send_one("sound", "bb22");
                sleep_ms(60);
            }
        })
    };
    sleep_ms(1000);
    let started = Instant::now();
    let mut restarts: Vec<(Instant, String)> = Vec::new();
    let mut next_poison = Instant::now();
    let mut burst = 6;
    let mut starts = 1;
    let mut hosts_restarted_at = 0;
    let total = Duration::from_secs(if kills_hosts { 55 } else { 92 });
    while started.elapsed() < total {
        if Instant::now() >= next_poison {
            for _ in 0..std::mem::replace(&mut burst, 1) {
                send_one("poison", "dead01");
            }
            next_poison = Instant::now() + Duration::from_millis(500);
        }
        for id in scene.take_ended() {
            // it is back after some seconds
            restarts.push((Instant::now() + Duration::from_secs(2), id));
        }
        while restarts.first().is_some_and(|(at, _)| Instant::now() >= *at) {
            let (_, id) = restarts.remove(0);
            let n: usize = id.split('-').nth(2)?.parse().ok()?;
            scene.start_server(&format!("i-assist-{n}-{starts}"), addresses[n], &args);
            starts += 1;
        }
        if kills_hosts
            && has_trouble
            && hosts_restarted_at == 0
            && started.elapsed().as_secs() >= 18
        {
            record.line("trouble: all hosts are killed, and start again");
            for index in 0..scene.edges.len() {
                scene.restart_edge(index);
            }
            hosts_restarted_at = unix_ms();
            next_poison = Instant::now() + Duration::from_millis(CONTACT_MS + 1500);
        }
        sleep_ms(10);
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = sound.join();
    sleep_ms(1500);
    let lines = record.lines();
    let crashed: Vec<u64> =
        lines.iter().filter(|(_, l)| l.contains(": crashes on ")).map(|(at, _)| *at).collect();
    let Some(fifth) = crashed.get(4) else {
        record.line(&format!("crashes: {}", crashed.len()));
        return if crashes { None } else { Some(true) };
    };
    let from = (fifth + CONTACT_MS).max(hosts_restarted_at + CONTACT_MS + 300);
    let late: Vec<&(u64, String)> = lines
        .iter()
        .filter(|(at, line)| *at > from && line.contains(": poison request "))
        .collect();
    for (at, line) in &late {
        record.line(&format!("counted, {} ms after the fifth crash: {line}", at - fifth));
    }
    record.line(&format!("crashes: {}, counted requests: {}", crashed.len(), late.len()));
    Some(late.len() <= 3)
}

// sends a client's request whose answer is a stream, and records it
fn send_stream(
    record: &Record,
    host: SocketAddr,
    id: &str,
    resumes: Option<(&str, u64)>,
) -> Events {
    // the longest of two seconds, four times the objective and eight times the pause
    const GAP: Duration = Duration::from_millis(2400);
    let mut head = format!(
        "{}Request-Id: {id}\r\nDeadline-Ms: 10000\r\n",
        advice_head("aa11:198,bb22:400,cc33:228")
    );
    if let Some((first, last)) = resumes {
        head.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"));
    }
    record.line(&format!(
        "client: sends {id} to {host}{}",
        match resumes {
            Some((first, last)) => format!(", takes up {first} after event {last}"),
            None => String::new(),
        }
    ));
    let read = read_stream(host, &head, b"{}", GAP);
    record.line(&format!(
        "client: {id} status={} events={} from {:?} end={:?}",
        read.status,
        read.events.len(),
        read.events.first(),
        read.end
    ));
    read
}

/// A host stands still while servers of a second software version appear; the clients of its streams
/// take them up at the other hosts.
pub fn frozen_at_release(record: &Record, folder: &Path, has_trouble: bool) -> Option<bool> {
    const STREAMS: usize = 24;
    let mut scene = Scene::start(record.clone(), folder);
    let config = engine_config(1, ONE_MODEL)
        .replace("\"target_latency_ms\":800", "\"target_latency_ms\":500");
    scene.store.write("keyed.op", "config", &config);
    let args = [
        "--service",
        "potter-assist",
        "--models",
        "clay=72700",
        "--events",
        "60",
        "--pause-ms",
        "100",
        "--slots",
        "32",
    ];
    for n in 0..4 {
        scene.start_server(&format!("i-assist-{n}-0"), free_address("127.0.2.1"), &args);
    }
    for number in 1..=4 {
        scene.start_edge(number);
    }
    if !scene.wait_until_ready(Duration::from_secs(15))
        || !scene.wait_for_servers(Duration::from_secs(10))
    {
        return None;
    }
    sleep_ms(6000);
    let hosts: Vec<SocketAddr> = scene.edges.iter().map(|edge| edge.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let begun = Arc::new((AtomicUsize::new(0), AtomicUsize::new(0)));
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (record, hosts) = (record.clone(), hosts.clone());
            thread::spawn(move || {
                let id = format!("stream-{n}");
                let first = send_stream(&record, hosts[0], &id, None);
                let last = first.events.last().map(|(number, _)| *number)?;
                if first.end == End::Whole {
                    return None;
                }
                let mut has_gone_on = false;
                for attempt in 1..=2 {
                    let host = hosts[1 + (n + attempt) % (hosts.len() - 1)];
                    let resumes = Some((id.as_str(), last));
                    let next =
                        send_stream(&record, host, &format!("{id}-again-{attempt}"), resumes);
                    if next.events.first().is_some_and(|(number, _)| *number == last + 1) {
                        has_gone_on = true;
                        break;
                    }
                    sleep_ms(next.retry_after_ms.unwrap_or(100));
                }
                Some(has_gone_on)
            })
        })
        .collect();
    sleep_ms(900);
    if has_trouble {
        record.line("trouble: the first host stands still");
        scene.signal_edge(0, "-STOP");
    }
    sleep_ms(300);
    record.line("release: a server of the next software version starts");
    let new = [&args[..], &["--version", "v2"]].concat();
    scene.start_server("i-assist-9-0", free_address("127.0.2.1"), &new);
    let fresh = {
        let (record, hosts, is_over, begun) =
            (record.clone(), hosts.clone(), is_over.clone(), begun.clone());
        thread::spawn(move || {
            let mut n = 0;
            while !is_over.load(Ordering::SeqCst) {
                let (record, host, begun) =
                    (record.clone(), hosts[1 + n % (hosts.len() - 1)], begun.clone());
                thread::spawn(move || {
                    begun.0.fetch_add(1, Ordering::SeqCst);
                    let read = send_stream(&record, host, &format!("new-{n}"), None);
                    if !read.events.is_empty() {
                        begun.1.fetch_add(1, Ordering::SeqCst);
                    }
                });
                n += 1;
                sleep_ms(100);
            }
        })
    };
    sleep_ms(3600);
    if has_trouble {
        record.line("trouble: the first host wakes again");
        scene.signal_edge(0, "-CONT");
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = fresh.join();
    let taken_up: Vec<bool> =
        streams.into_iter().filter_map(|stream| stream.join().ok().flatten()).collect();
    sleep_ms(11_000);
    let gone_on = taken_up.iter().filter(|has_gone_on| **has_gone_on).count();
    let (sent, begun) = (begun.0.load(Ordering::SeqCst), begun.1.load(Ordering::SeqCst));
    record.line(&format!(
        "streams taken up: {}, gone on: {gone_on}; new streams: {sent}, begun: {begun}",
        taken_up.len()
    ));
    if sent == 0 || begun == 0 {
        return None;
    }
    // of 12 or more, the share that goes on is under half of the share of new streams that begin
    Some(taken_up.len() < 12 || 2 * gone_on * sent >= begun * taken_up.len())
}

/// A new configuration names a second base model, and no server has room for both. Then the hosts are
/// stopped and started in turn.
pub fn second_model(record: &Record, folder: &Path, has_trouble: bool) -> Option<bool> {
    let mut scene = Scene::start(record.clone(), folder);
    scene.store.write("keyed.op", "config", &engine_config(1, ONE_MODEL));
    let args = [
        "--service",
        "potter-assist",
        "--weights-mb",
        "75000",
        "--models",
        "clay=72700,glass=72700",
        "--events",
        "40",
        "--pause-ms",
        "50",
        "--slots",
        "32",
    ];
    for n in 0..6 {
        scene.start_server(&format!("i-assist-{n}-0"), free_address("127.0.2.1"), &args);
    }
    for number in 1..=2 {
        scene.start_edge(number);
    }
    if !scene.wait_until_ready(Duration::from_secs(15))
        || !scene.wait_for_servers(Duration::from_secs(10))
    {
        return None;
    }
    sleep_ms(5000);
    if has_trouble {
        record.line("operator: version 2 of the configuration names the model glass too");
        let models = format!("{ONE_MODEL},{}", ONE_MODEL.replace("clay", "glass"));
        scene.store.write("keyed.op", "config", &engine_config(2, &models));
    }
    let hosts: Vec<SocketAddr> = scene.edges.iter().map(|edge| edge.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let sending = {
        let (record, is_over) = (record.clone(), is_over.clone());
        thread::spawn(move || {
            let mut n = 0;
            while !is_over.load(Ordering::SeqCst) {
                let (record, host) = (record.clone(), hosts[n % hosts.len()]);
                thread::spawn(move || send_stream(&record, host, &format!("stream-{n}"), None));
                n += 1;
                sleep_ms(100);
            }
        })
    };
    sleep_ms(4000);
    for index in 0..scene.edges.len() {
        record.line(&format!("planned work: host {} is stopped and starts again", index + 1));
        scene.stop_edge(index);
        if !scene.wait_until_ready(Duration::from_secs(15)) {
            return None;
        }
        sleep_ms(6000);
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = sending.join();
    sleep_ms(3000);
    let over = record.lines().iter().filter(|(_, l)| l.contains("ordered to load over")).count();
    let lines = record.lines();
    let cut = lines.iter().filter(|(_, l)| l.contains("status=200") && l.contains("end=Broken"));
    record.line(&format!(
        "servers ordered to load more than they hold: {over}, streams cut: {}",
        cut.count()
    ));
    Some(over == 0)
}
