//! The store comes back from a copy that lacks the claims on servers that had just been added. Later
//! a machine is added.

use {
    crate::{
        client::{Ask, Load},
        scene::Scene,
        target::{Order, Target},
    },
    std::{
        io,
        path::Path,
        time::{Duration, Instant},
    },
};

const LEASE: Duration = Duration::from_millis(3000);
const CONTACT: Duration = Duration::from_millis(3000);

/// Turns that are written to the record in full.
const TURNS_SHOWN: usize = 12;

struct Turn {
    server: String,
    before: Order,
    after: Order,
}

pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let mut scene = Scene::new()?;
    scene.start_engines("e")?;
    scene.start_hosts()?;
    scene.wait_until(5.0);
    let mut loads = vec![start_load(&scene, 0..4)];
    scene.note("clients begin: streams, each of another adapter");
    scene.wait_until(8.0);
    let copy = scene.store.copy();
    scene.note("a copy of the store is made");
    scene.wait_until(9.0);
    for number in 1..=6 {
        scene.start_target(&format!("n-{number:02}"), "engines", "zone-2")?;
    }
    scene.wait_until(13.0);
    let away_from = Instant::now();
    if trouble {
        scene.store.go_away();
        scene.note("the store is away");
        scene.wait_until(13.5);
        scene.store.come_back(copy);
        scene.note("the store comes back from the copy, with the next Store-Era");
    }
    let away_until = Instant::now();
    scene.wait_until(18.0);
    let claims = claims(&scene);
    scene.note(&format!("claims of the system in the store: {}", claims.join(" ")));
    scene.wait_until(20.0);
    scene.start_host("edge-5", "zone-2", false)?;
    scene.hosts[4].wait_until_ready()?;
    scene.note("edge-5 is ready");
    loads.push(start_load(&scene, 4..5));
    scene.wait_until(32.0);
    let calls: Vec<_> = loads.into_iter().flat_map(Load::stop).collect();
    let served = calls.iter().filter(|call| call.status == 200 && call.is_whole).count();
    scene.note(&format!("clients end: {} requests, {served} served", calls.len()));
    let claims = self::claims(&scene);
    scene.note(&format!("claims of the system in the store: {}", claims.join(" ")));

    let is_in_touch = |order: &Order| {
        let host = scene.hosts.iter().find(|host| host.name == order.holder);
        let is_store_calm = !trouble || order.at < away_from || order.at >= away_until + CONTACT;
        is_store_calm && host.is_some_and(|host| order.at >= host.started_at + CONTACT)
    };
    let turns: Vec<Turn> =
        scene.targets.iter().flat_map(|target| turns(target, is_in_touch)).collect();
    let orders: usize = scene.targets.iter().map(|target| target.orders().len()).sum();
    scene.add(&format!(
        "orders: {orders}; turns of two holders in touch within the lease: {}",
        turns.len()
    ));
    for turn in turns.iter().take(TURNS_SHOWN) {
        let line = |order: &Order| {
            format!(
                "{} ms {} (epoch number {}, {}, status {})",
                scene.ms(order.at),
                order.holder,
                order.fence,
                order.what,
                order.status
            )
        };
        let text =
            format!("server {}: {}; then {}", turn.server, line(&turn.before), line(&turn.after));
        scene.add(&text);
    }
    let holds = turns.is_empty();
    scene.add(if holds { "ONE held" } else { "ONE is broken: holders take turns within lease_ms" });
    scene.save(folder, &calls)?;
    Ok(holds)
}

fn start_load(scene: &Scene, hosts: std::ops::Range<usize>) -> Load {
    Load::start(&scene.addresses()[hosts], 3, Duration::from_millis(60), |number| Ask {
        path: "/draft/x".to_owned(),
        adapter: Some(format!("a{}", number % 1500 + 1)),
        ..Ask::default()
    })
}

// the keys of the topic in which the system keeps its claims
fn claims(scene: &Scene) -> Vec<String> {
    let keys = scene.store.keys("keyed.egretshore");
    keys.into_iter().filter(|key| key.starts_with("engine/")).collect()
}

// accepted orders of another holder within the lease of the order before, both in touch
fn turns(target: &Target, is_in_touch: impl Fn(&Order) -> bool) -> Vec<Turn> {
    let orders = target.orders();
    let counted: Vec<&Order> = orders
        .iter()
        .filter(|order| matches!(order.status, 200 | 202) && is_in_touch(order))
        .collect();
    let pairs = counted
        .windows(2)
        .filter(|pair| pair[0].holder != pair[1].holder && pair[1].at < pair[0].at + LEASE);
    pairs
        .map(|pair| Turn {
            server: target.conf.id.clone(),
            before: pair[0].clone(),
            after: pair[1].clone(),
        })
        .collect()
}
