//! Another writer writes an entry that lacks a field, under the id of a live server.

use {
    crate::{
        client::{Ask, Load},
        scene::Scene,
        target::object,
    },
    std::{io, path::Path, time::Duration},
};

pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let mut scene = Scene::new()?;
    for number in 1..=3 {
        scene.start_target(&format!("s-{number}"), "studio", &format!("zone-{number}"))?;
        scene.start_target(&format!("r-{number}"), "registry", &format!("zone-{number}"))?;
    }
    scene.start_hosts()?;
    scene.wait_until(5.0);
    let hosts = scene.addresses();
    let load = Load::start(&hosts, 2, Duration::from_millis(40), |number| {
        let path = if number % 2 == 0 { "/publish/package" } else { "/issue/certificate" };
        Ask { path: path.to_owned(), ..Ask::default() }
    });
    scene.note("clients begin: /publish/ belongs to studio, /issue/ to registry");
    scene.wait_until(9.0);
    if trouble {
        let registry = scene.targets.iter().find(|target| target.conf.id == "r-2");
        let registry = registry.expect("the server was started").clone();
        let mut entry = registry.entry();
        // a field is missing, so the entry names no server to use
        entry.retain(|(name, _)| *name != "cold_left_ms");
        for (name, value) in &mut entry {
            if *name == "service" {
                *value = "\"studio\"".to_owned();
            }
        }
        let text = object(&entry);
        for number in 0..3 {
            scene.wait_until(9.0 + 1.3 * f64::from(number));
            scene.store.write("keyed.servers", b"r-2", text.as_bytes());
            scene.note(&format!("another writer writes servers/r-2: {text}"));
        }
    }
    scene.wait_until(16.0);
    let calls = load.stop();
    let served = calls.iter().filter(|call| call.status == 200 && call.is_whole).count();
    scene.note(&format!("clients end: {} requests, {served} served", calls.len()));

    let mut wrong = Vec::new();
    for target in &scene.targets {
        let own = if target.conf.service == "studio" { "/publish/" } else { "/issue/" };
        for run in target.runs().iter().filter(|run| !run.target.starts_with(own)) {
            let answer = calls.iter().find(|call| call.id == run.id);
            wrong.push(format!(
                "{} ms server {} of {} ran POST {} (Request-Id {}); its client at {} got status {}, \
                 {:?}",
                scene.ms(run.at),
                target.conf.id,
                target.conf.service,
                run.target,
                run.id,
                answer.map_or("-", |call| &call.host),
                answer.map_or(0, |call| call.status),
                answer.map_or("", |call| &call.body)
            ));
        }
    }
    let runs: usize = scene.targets.iter().map(|target| target.runs().len()).sum();
    scene.add(&format!("runs: {runs}; by a service to which no config allows it: {}", wrong.len()));
    for line in &wrong {
        scene.add(line);
    }
    let holds = wrong.is_empty();
    scene.add(if holds { "ROUTE held" } else { "ROUTE is broken" });
    scene.save(folder, &calls)?;
    Ok(holds)
}
