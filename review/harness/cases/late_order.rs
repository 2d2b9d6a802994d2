//! An order stays unanswered and is carried out late. Meanwhile its server has crashed and is back
//! under its id.

use {
    crate::{
        client::{Ask, Call, call},
        scene::{Scene, config_with},
    },
    std::{io, path::Path, thread, time::Duration},
};

/// Places for adapters, as at the smallest servers of the pages.
const SLOTS: usize = 5;

/// Delay of the late order.
const DELAY: Duration = Duration::from_secs(10);

/// Time for which the server is down.
const DOWN: Duration = Duration::from_millis(1500);

pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let mut scene = Scene::new()?;
    scene.store.write("keyed.op", b"config", config_with(4, "", SLOTS).as_bytes());
    scene.start_target_with("e-01", "engines", "zone-1", SLOTS)?;
    for number in 1..=2 {
        scene.start_host(&format!("edge-{number}"), "zone-1", true)?;
    }
    for host in &scene.hosts {
        host.wait_until_ready()?;
    }
    let server = scene.targets[0].clone();
    let mut calls = Vec::new();
    scene.wait_until(5.0);
    scene.note("clients ask for five adapters, which fill the server");
    ask_for_all(&scene, &mut calls);
    // an adapter is replaced once it has not been used for a while
    scene.wait_until(8.0);
    if trouble {
        server.delay_load("late", DELAY);
    }
    scene.note("a client asks for a sixth adapter");
    calls.push(ask(&scene, "late"));
    scene.wait_until(10.0);
    if trouble {
        scene.note("the server crashes");
        server.crash(DOWN)?;
        scene.note("the server is back under its id, with nothing");
    }
    for seconds in 12..25 {
        scene.wait_until(f64::from(seconds));
        ask_for_all(&scene, &mut calls);
    }
    let overfilled = server.overfilled();
    for (at, held) in &overfilled {
        let line = format!(
            "{} ms the server, which has {SLOTS} places, is ordered to hold {}",
            scene.ms(*at),
            held.join(", ")
        );
        scene.add(&line);
    }
    let holds = overfilled.is_empty();
    scene.add(if holds { "LIMIT held" } else { "LIMIT is broken" });
    scene.save(folder, &calls)?;
    Ok(holds)
}

fn ask_for_all(scene: &Scene, calls: &mut Vec<Call>) {
    let done = thread::scope(|scope| {
        let asks: Vec<_> = (1..=SLOTS)
            .map(|number| scope.spawn(move || ask(scene, &format!("a{number}"))))
            .collect();
        asks.into_iter().filter_map(|ask| ask.join().ok()).collect::<Vec<Call>>()
    });
    calls.extend(done);
}

fn ask(scene: &Scene, adapter: &str) -> Call {
    let host = &scene.hosts[0];
    let ask =
        Ask { path: "/draft/x".to_owned(), adapter: Some(adapter.to_owned()), ..Ask::default() };
    call(&host.name, host.callers, &ask)
}
