//! Servers whose streams end with their connection, and requests with a part that crashes them.

use {
    crate::{
        client::{Ask, Call, Load, call},
        scene::Scene,
    },
    std::{
        env, io,
        net::SocketAddr,
        path::Path,
        thread,
        time::{Duration, Instant},
    },
};

/// Parts that all requests share.
const SOUND: &str = "5c1e07a2:100,91bd3f06:60";

/// The same with the part that crashes servers.
const CRASHING: &str = "5c1e07a2:100,91bd3f06:60,e4402b7d:40";
const CRASHING_PART: &str = "e4402b7d";

const CONTACT: Duration = Duration::from_millis(3000);

/// Time until a server that has crashed is back.
const DOWN: Duration = Duration::from_secs(2);

pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    // for comparison: FRAMED=1 has the servers end their streams with chunks
    let is_framed = env::var("FRAMED").is_ok_and(|value| value == "1");
    let mut scene = Scene::new()?;
    scene.start_engines("e")?;
    for target in &scene.targets {
        target.crash_on(CRASHING_PART, DOWN);
        if !is_framed {
            target.leave_streams_unframed();
        }
    }
    scene.start_hosts()?;
    scene.wait_until(5.0);
    let hosts = scene.addresses();
    let sound = start_load(&hosts);
    scene.note("clients begin: streams with two parts that they share");
    scene.wait_until(12.0);
    let begun_at = Instant::now();
    let mut crashing = Vec::new();
    if trouble {
        scene.note("a request with a third part, which crashes servers, comes every 1.5 s");
    }
    for number in 0..22 {
        scene.wait_until(12.0 + 1.5 * number as f64);
        if trouble {
            let (name, address) = hosts[number % hosts.len()].clone();
            let ask = Ask { path: "/draft/x".to_owned(), parts: Some(CRASHING), ..Ask::default() };
            crashing.push(thread::spawn(move || call(&name, address, &ask)));
        }
    }
    scene.wait_until(45.0);
    let ended_at = Instant::now();
    let crashing: Vec<Call> = crashing.into_iter().filter_map(|call| call.join().ok()).collect();
    let calls = sound.stop();
    scene.note("clients end");

    let mut crashes: Vec<Instant> =
        scene.targets.iter().flat_map(|target| target.crashes()).collect();
    crashes.sort_unstable();
    let fifth = crashes.get(4).or(crashes.last()).copied();
    let counted_from = fifth.map_or(begun_at, |at| at + 2 * CONTACT);
    let share = |from, to| {
        let counted: Vec<&Call> =
            calls.iter().filter(|call| call.sent_at >= from && call.sent_at < to).collect();
        let begun = counted.iter().filter(|call| call.status == 200 && !call.body.is_empty());
        (counted.len(), begun.count())
    };
    let before = share(scene.began_at, begun_at);
    let after = share(counted_from, ended_at);
    let times: Vec<String> = crashes.iter().map(|at| scene.ms(*at).to_string()).collect();
    scene.add(&format!("crashes: {} (at {} ms)", crashes.len(), times.join(", ")));
    scene.add(&format!("sound requests before: {}, begun {}", before.0, before.1));
    scene.add(&format!(
        "sound requests from 2 x contact_ms after the fifth crash, or the last: {}, begun {}",
        after.0, after.1
    ));
    if before.0 < 20 || after.0 < 20 {
        return Err(io::Error::other("fewer than 20 sound requests"));
    }
    // as shares: after is less than half of before
    let holds = after.1 * before.0 * 2 >= before.1 * after.0;
    scene.add(if holds { "LOST held" } else { "LOST is broken" });
    let all: Vec<Call> = calls.into_iter().chain(crashing).collect();
    scene.save(folder, &all)?;
    Ok(holds)
}

fn start_load(hosts: &[(String, SocketAddr)]) -> Load {
    Load::start(hosts, 2, Duration::from_millis(100), |_| Ask {
        path: "/draft/x".to_owned(),
        parts: Some(SOUND),
        ..Ask::default()
    })
}
