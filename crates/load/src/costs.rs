//! The cost of state, messages and decisions at several sizes, for `docs/CAPACITY.md`.

use {
    egret_core::{
        Adapter, Attempt, BaseModel, Config, Demand, EngineView, EngineViews, Journal,
        JournalRecord, KeyDigest, ModelName, PlacementPolicy, PlacementRequest, Resource, Time,
        Weights, assign_keepers, choose_engine,
    },
    egret_runtime::{
        AcquireMsg, AttemptKeyMsg, Body, EngineViewMsg, Frame, GrantMsg, HeartbeatMsg,
        HeartbeatReplyMsg, ReleaseMsg, ResidentMsg,
    },
    faststr::FastStr,
    prost::Message,
    std::{fmt::Write, hint::black_box, process::ExitCode, time::Instant},
};

/// Repetitions of a timed operation.
const REPEATS: u32 = 2000;

/// Adapters resident on each engine.
const RESIDENT_ADAPTERS: usize = 16;

/// Prints all costs.
pub(crate) fn run() -> ExitCode {
    println!("memory, bytes each (from the process's resident size)");
    for count in [3000, 11_000, 100_000] {
        println!(
            "  configuration, adapter   {count:>7}: {:>6}",
            bytes_per_item(count, build_config)
        );
        println!(
            "  demand, adapter          {count:>7}: {:>6}",
            bytes_per_item(count, build_demand)
        );
        println!(
            "  journal, key             {count:>7}: {:>6}",
            bytes_per_item(count, build_journal)
        );
    }
    for count in [100, 1000, 3500] {
        println!(
            "  view, engine of 16       {count:>7}: {:>6}",
            bytes_per_item(count, build_views)
        );
    }
    print_message_sizes();
    print_decision_times();
    ExitCode::SUCCESS
}

/// Resident bytes of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|v| v.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

fn bytes_per_item<T>(count: usize, build: fn(usize) -> T) -> u64 {
    let before = resident_bytes();
    let copies: Vec<T> = (0..4).map(|_| build(count)).collect();
    let after = resident_bytes();
    // leaked, so that what is built next can't reuse the memory
    std::mem::forget(black_box(copies));
    after.saturating_sub(before) / (4 * count as u64)
}

fn model(number: usize) -> ModelName {
    ModelName::new("base-7b".into(), FastStr::from_string(format!("adapter-{number:06}")), 3)
}

fn build_config(adapters: usize) -> Config {
    let mut config = Config::default();
    config.manifest.base_models.insert("base-7b".into(), BaseModel {});
    for number in 0..adapters {
        let adapter = Adapter { versions: vec![1, 2] };
        config.manifest.adapters.insert(model(number).adapter_key(), adapter);
    }
    config
}

fn build_demand(adapters: usize) -> Demand {
    let mut demand = Demand::new(300_000);
    (0..adapters).for_each(|number| demand.record_use(Time::from_millis(1), &model(number)));
    demand
}

fn build_journal(keys: usize) -> Journal {
    let mut journal = Journal::new(900_000);
    for number in 0..keys {
        let attempt = Attempt { entry: "entry-1".into(), incarnation: 1, number: number as u64 };
        let record = JournalRecord::Intent {
            key: KeyDigest::new("caller", "studio", &number.to_string()),
            body: FastStr::from_string(egret_core::hex_digest(&number.to_le_bytes())),
            attempt,
            expires_unix_ms: 900_000,
        };
        journal.apply_record(number as u64, record);
    }
    journal
}

fn build_views(engines: usize) -> EngineViews {
    let mut views = EngineViews::default();
    for number in 0..engines {
        let first = number * RESIDENT_ADAPTERS;
        let view = EngineView {
            base: "base-7b".into(),
            data_centre: "dc".into(),
            keeper: "keeper".into(),
            fencing_token: 1,
            batch: 8,
            service_ms: 500,
            load_ms: 300,
            can_load: true,
            resident: (first..first + RESIDENT_ADAPTERS).map(model).collect(),
            ..EngineView::default()
        };
        views.update(&FastStr::from_string(format!("engine-{number}")), view);
    }
    views
}

fn framed_bytes(body: Body) -> usize {
    const LENGTH_BYTES: usize = 4;
    LENGTH_BYTES + Frame { id: 1_000_000, body: Some(body) }.encoded_len()
}

fn engine_message(has_list: bool) -> EngineViewMsg {
    let models = (0..RESIDENT_ADAPTERS).map(|n| model(n).to_string()).collect();
    EngineViewMsg {
        engine: "engine-1234".to_owned(),
        fencing_token: 1_000_000,
        running: 6,
        queued: 3,
        service_ms: 700,
        load_ms: 400,
        can_load: true,
        registered: true,
        version: 1 << 40,
        resident: has_list.then_some(ResidentMsg { models }),
        ..EngineViewMsg::default()
    }
}

fn print_message_sizes() {
    let key = || AttemptKeyMsg { request: "entry-123-19be1a2b3c4-1000000".to_owned(), attempt: 1 };
    let acquire = AcquireMsg {
        key: key(),
        engine: "engine-1234".to_owned(),
        model: model(1).to_string(),
        caller: "key-0123456789ab".to_owned(),
        class: "interactive".to_owned(),
        remaining_ms: 20_000,
        fingerprint: 1,
        suspect: false,
        resident_copies: 2,
    };
    let release = ReleaseMsg {
        key: key(),
        engine: "engine-1234".to_owned(),
        end: "done".to_owned(),
        fingerprint: 1,
    };
    let grant = GrantMsg { fencing_token: 1_000_000, stall_ms: 300 };
    let view = |engines: usize, has_lists: bool| HeartbeatReplyMsg {
        engines: (0..engines).map(|_| engine_message(has_lists)).collect(),
        revision: 1_000_000,
        ..HeartbeatReplyMsg::default()
    };
    let known = (0..9).map(|n| (format!("engine-{n:04}"), 1_u64 << 40)).collect();
    let heartbeat = HeartbeatMsg {
        is_entry: true,
        revision: 1_000_000,
        resident_versions: known,
        ..HeartbeatMsg::default()
    };
    println!("messages, bytes");
    println!("  acquire {}", framed_bytes(Body::Acquire(acquire)));
    println!("  grant {}", framed_bytes(Body::Grant(grant)));
    println!("  release {}", framed_bytes(Body::Release(release)));
    println!("  heartbeat that knows 9 engines {}", framed_bytes(Body::Heartbeat(heartbeat)));
    println!(
        "  view of 9 engines, without resident lists {}",
        framed_bytes(Body::HeartbeatReply(view(9, false)))
    );
    println!(
        "  view of 9 engines, with resident lists {}",
        framed_bytes(Body::HeartbeatReply(view(9, true)))
    );
    let view = view(9, false);
    let mean_ns = mean_nanoseconds(|| {
        let bytes = view.encode_to_vec();
        black_box(HeartbeatReplyMsg::decode(bytes.as_slice()).is_ok());
    });
    println!("  encoding and decoding a view of 9 engines: {mean_ns} ns");
}

fn mean_nanoseconds(mut work: impl FnMut()) -> u128 {
    let start = Instant::now();
    (0..REPEATS).for_each(|_| work());
    start.elapsed().as_nanos() / u128::from(REPEATS)
}

fn print_decision_times() {
    println!("choice of an engine, ns (engines of one base model in one data centre)");
    for count in [12, 56, 100, 1000] {
        let views = build_views(count);
        let mut line = format!("  {count:>5} engines:");
        let policies = [
            ("random", PlacementPolicy::Random),
            ("rendezvous", PlacementPolicy::Rendezvous),
            ("least loaded", PlacementPolicy::LeastLoaded),
            ("weighted", PlacementPolicy::Weighted),
        ];
        for (name, policy) in policies {
            let mut number = 0;
            let mean_ns = mean_nanoseconds(|| {
                number += 1;
                let model = model(number % 11_000);
                let request = PlacementRequest {
                    model: &model,
                    tried: &[],
                    data_centre: "dc",
                    remote_cost_ms: 1,
                    suspect: None,
                    seed: number as u64,
                };
                black_box(choose_engine(policy, &Weights::default(), &views, &request));
            });
            let _ = write!(line, " {name} {mean_ns}");
        }
        println!("{line}");
    }
    println!("assignment of keepers, microseconds (only when hosts or engines change)");
    for (engines, keepers) in [(12, 4), (390, 45), (3500, 410)] {
        let resources: Vec<Resource> = (0..engines)
            .map(|n| Resource::Engine(FastStr::from_string(format!("engine-{n}"))))
            .collect();
        let hosts: Vec<FastStr> =
            (0..keepers).map(|n| FastStr::from_string(format!("entry-{n}"))).collect();
        let start = Instant::now();
        black_box(assign_keepers(&resources, &hosts));
        println!("  {engines} engines, {keepers} keepers: {}", start.elapsed().as_micros());
    }
}
