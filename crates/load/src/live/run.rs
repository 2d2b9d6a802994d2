//! The run of a load plan.

use {
    super::{
        plan::LoadPlan,
        report::LoadReport,
        request::{LoadRequest, send_and_check},
    },
    crate::popularity::Popularity,
    egret_runtime::{HttpClient, now},
    parking_lot::Mutex,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Highest number of open requests; the next request waits for one of them to end.
const OPEN_REQUESTS_MAX: usize = 1000;

/// Share of model requests that are streamed.
const STREAM_SHARE: f64 = 0.5;

/// How long an engine may take to return its counters.
const STATS_TIMEOUT_MS: u64 = 2000;

/// Sends the load of `plan` and waits for all answers.
pub async fn run_load(plan: LoadPlan) -> LoadReport {
    let client = HttpClient::pooled();
    let before = engine_counts(&client, &plan.engines).await;
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut popularity = Popularity::new(plan.adapters, plan.exponent, &mut rng);
    let mut open = JoinSet::new();
    let start = Instant::now();
    let mut due_s = 0.0;
    let mut next_shift = plan.shift_interval_s;
    let mut number = 0;
    loop {
        // exponential inter-arrival times make a Poisson process
        due_s += -(1.0 - rng.random::<f64>()).ln() / plan.rate;
        if due_s >= Duration::from_secs(plan.seconds).as_secs_f64() {
            break;
        }
        if plan.shift_interval_s > 0 && Duration::from_secs_f64(due_s).as_secs() >= next_shift {
            popularity.shuffle(&mut rng, 1.0 / 3.0);
            next_shift += plan.shift_interval_s;
        }
        let request = draw_request(&plan, &popularity, &mut rng, number);
        let entry = plan.entries[number % plan.entries.len()];
        number += 1;
        let due = start + Duration::from_secs_f64(due_s);
        tokio::time::sleep_until(due.into()).await;
        while open.len() >= OPEN_REQUESTS_MAX {
            open.join_next().await;
        }
        let (client, report) = (client.clone(), report.clone());
        open.spawn(async move {
            let result = send_and_check(&client, entry, &request).await;
            report.lock().record(&result);
        });
    }
    while open.join_next().await.is_some() {}
    let after = engine_counts(&client, &plan.engines).await;
    let mut report = report.lock().clone();
    report.steps = after[0] - before[0];
    report.sequences = after[1] - before[1];
    report.adapters = after[2] - before[2];
    report
}

fn draw_request(
    plan: &LoadPlan,
    popularity: &Popularity,
    rng: &mut ChaCha8Rng,
    number: usize,
) -> LoadRequest {
    if rng.random::<f64>() < plan.publication_share {
        return LoadRequest::Publish {
            service: plan.service.clone(),
            key: format!("key-{}-{number}", plan.seed),
            body: format!("{{\"package\":{number}}}"),
        };
    }
    let adapter = popularity.draw_adapter(rng);
    LoadRequest::Model {
        model: format!("{}/a{adapter}@1", plan.base_model),
        class: plan.shape.draw_class(rng),
        tokens: plan.shape.draw_tokens(rng),
        streams: rng.random::<f64>() < STREAM_SHARE,
        prompt: format!("request {number} of seed {}", plan.seed),
    }
}

/// Counters of steps, sequences and adapters, summed over all engine stand-ins.
async fn engine_counts(client: &HttpClient, engines: &[SocketAddr]) -> [u64; 3] {
    let mut sums = [0; 3];
    for engine in engines {
        let reply = client.get(*engine, "/stats", now().after_ms(STATS_TIMEOUT_MS)).await;
        let Some(stats) = reply.ok().and_then(|r| r.json::<Value>().ok()) else {
            continue;
        };
        for (sum, name) in sums.iter_mut().zip(["steps", "sequences", "adapters"]) {
            *sum += stats[name].as_u64().unwrap_or(0);
        }
    }
    sums
}
