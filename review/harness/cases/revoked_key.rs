//! The store comes back from a copy in which a key is still valid, and a machine is added before the
//! operator has written the newer config again.

use {
    crate::{
        client::{Ask, Load},
        scene::{Scene, config},
    },
    std::{
        io,
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
};

const KEPT_KEY: &str = "asnmgkcuyj8pjbvk9m68";
const REVOKED_KEY: &str = "k7b2ex5wa5xwyhks8nbk";

const REVOKE: Duration = Duration::from_millis(5000);

fn tenant(keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!("{{\"name\":\"hule930\",\"api_keys\":[{}]}}", keys.join(","))
}

fn start_load(hosts: &[(String, SocketAddr)]) -> Load {
    Load::start(hosts, 2, Duration::from_millis(20), |number| Ask {
        path: "/publish/package".to_owned(),
        key: Some(if number % 2 == 0 { KEPT_KEY } else { REVOKED_KEY }),
        ..Ask::default()
    })
}

pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let mut scene = Scene::new()?;
    let with_both = config(9, &tenant(&[KEPT_KEY, REVOKED_KEY]));
    let with_one = config(10, &tenant(&[KEPT_KEY]));
    scene.store.write("keyed.op", b"config", with_both.as_bytes());
    for number in 1..=3 {
        scene.start_target(&format!("s-{number}"), "studio", &format!("zone-{number}"))?;
    }
    scene.start_hosts()?;
    scene.wait_until(4.0);
    let hosts = scene.addresses();
    let load = start_load(&hosts);
    scene.note("clients begin, with two keys of one tenant");
    scene.wait_until(9.0);
    let copy = scene.store.copy();
    scene.note("a copy of the store is made");
    scene.wait_until(10.0);
    scene.store.write("keyed.op", b"config", with_one.as_bytes());
    let revoked_at = Instant::now();
    scene.note("the store acknowledges version 10, which takes the second key away");
    scene.wait_until(15.0);
    if trouble {
        scene.store.go_away();
        scene.note("the store is away");
    }
    scene.wait_until(15.5);
    if trouble {
        scene.store.come_back(copy);
        scene.note("the store comes back from the copy, with the next Store-Era");
    }
    scene.wait_until(15.8);
    scene.start_host("edge-5", "zone-2", false)?;
    scene.hosts[4].wait_until_ready()?;
    scene.note("edge-5 is ready, and clients are led to it");
    let more = start_load(&scene.addresses()[4..]);
    scene.wait_until(16.8);
    if trouble {
        scene.store.write("keyed.op", b"config", with_one.as_bytes());
        scene.note("the operator has written version 10 again");
    }
    scene.wait_until(22.0);
    let mut calls = load.stop();
    calls.extend(more.stop());
    scene.note(&format!("clients end: {} requests", calls.len()));
    let mut late = Vec::new();
    for target in scene.targets.clone() {
        for run in target.runs() {
            let call = calls.iter().find(|call| call.id == run.id);
            let call = call.filter(|call| call.key == Some(REVOKED_KEY));
            if let Some(call) = call.filter(|call| call.sent_at > revoked_at + REVOKE) {
                late.push(format!(
                    "{} ms server {} ran {}, which a client sent to {} with the second key {} ms after \
                     the ack",
                    scene.ms(run.at),
                    target.conf.id,
                    run.id,
                    call.host,
                    call.sent_at.duration_since(revoked_at).as_millis()
                ));
            }
        }
    }
    scene.add(&format!("runs under the key later than revoke_ms after the ack: {}", late.len()));
    for line in &late {
        scene.add(line);
    }
    let holds = late.is_empty();
    scene.add(if holds { "CONFIG held" } else { "CONFIG is broken" });
    scene.save(folder, &calls)?;
    Ok(holds)
}
