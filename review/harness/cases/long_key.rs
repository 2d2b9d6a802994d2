//! Another writer writes an entry with a long key and a missing field. Then the servers are replaced
//! one after the other, and all hosts are killed.

use {
    crate::{
        client::{Ask, Call, Load},
        scene::Scene,
        target::object,
    },
    std::{io, path::Path, time::Duration},
};

/// Time after the hosts are back from which requests count.
const RECOVERY: Duration = Duration::from_secs(12);

/// Bytes of the key; the store takes 255.
const KEY_BYTES: usize = 250;

/// Adapters that clients ask for in turn. The servers have places for a sixth of them.
const ADAPTERS: u64 = 1500;

pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let mut scene = Scene::new()?;
    scene.start_engines("e")?;
    scene.start_hosts()?;
    scene.wait_until(5.0);
    let hosts = scene.addresses();
    let load = Load::start(&hosts, 3, Duration::from_millis(60), |number| Ask {
        path: "/draft/x".to_owned(),
        adapter: Some(format!("a{}", number % ADAPTERS + 1)),
        ..Ask::default()
    });
    scene.note("clients begin: streams, each of another adapter");
    scene.wait_until(12.0);
    if trouble {
        let mut entry = scene.targets[0].entry();
        // a field is missing, so the entry names no server to use
        entry.retain(|(name, _)| *name != "cold_left_ms");
        let text = object(&entry);
        let key = "x".repeat(KEY_BYTES);
        scene.store.write("keyed.servers", key.as_bytes(), text.as_bytes());
        scene.note(&format!("another writer writes servers/{key}: {text}"));
    }
    scene.wait_until(15.0);
    for number in 1..=9 {
        scene.start_engine("f", number)?;
        scene.wait_until(15.0 + number as f64);
        scene.targets[number - 1].drain();
        if let Some(last) = number.checked_sub(4) {
            scene.targets[last].leave();
        }
    }
    scene.note("each server was replaced: the new one starts, a second later the old one drains");
    scene.wait_until(28.0);
    for target in &scene.targets[..9] {
        target.leave();
    }
    let killed_at = std::time::Instant::now();
    scene.note("the final fault: all processes of the system are killed, and start again");
    for host in &mut scene.hosts {
        host.restart()?;
    }
    for host in &scene.hosts {
        host.wait_until_ready()?;
    }
    let back_at = std::time::Instant::now();
    scene.note("all hosts are ready");
    scene.wait_until(55.0);
    let calls = load.stop();
    let in_time = |from, to| {
        let counted: Vec<&Call> =
            calls.iter().filter(|call| call.sent_at >= from && call.sent_at < to).collect();
        let served = counted.iter().filter(|call| call.status == 200 && call.is_whole).count();
        (counted.len(), served)
    };
    let before = in_time(scene.began_at, killed_at);
    let after = in_time(back_at + RECOVERY, std::time::Instant::now());
    let panics: Vec<String> =
        scene.hosts.iter().flat_map(|host| host.lines_with("panicked at")).collect();
    scene.add(&format!("before the final fault: {} requests, {} served", before.0, before.1));
    scene.add(&format!(
        "sent later than {} s after the hosts were back: {} requests, {} served",
        RECOVERY.as_secs(),
        after.0,
        after.1
    ));
    for line in &panics {
        scene.add(line);
    }
    let is_served = |(sent, served): (usize, usize)| served * 4 >= sent;
    if !is_served(before) || after.0 == 0 {
        return Err(io::Error::other("too little was served before the final fault"));
    }
    let holds = is_served(after);
    scene.add(if holds {
        "RECOVER held"
    } else {
        "RECOVER is broken: less than a quarter is served"
    });
    scene.save(folder, &calls)?;
    Ok(holds)
}
