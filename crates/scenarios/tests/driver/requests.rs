//! Directives that send requests of callers.

use {
    super::{Scenario, arg_or},
    datadriven::TestCase,
    egret_load::{LoadPlan, LoadReport, run_load},
    egret_runtime::{HttpClient, Reply, now, unix_ms},
    http::{HeaderMap, Method},
    indexmap::IndexMap,
    serde_json::{Value, json},
};

/// Lifetime of idempotency keys, in milliseconds.
const KEY_LIFETIME_MS: u64 = 600_000;

/// Timeout of an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 60_000;

impl Scenario {
    /// Requests a completion and compares the answer with the output of the named adapter.
    pub(super) fn send_completion(&self, case: &mut TestCase) -> String {
        let entry = self.entry_address(case);
        let (body, model, tokens) = completion_request(case, false);
        let mut headers = Vec::new();
        if let Some(class) = case.try_take_arg::<String>("class").unwrap() {
            headers.push(("x-egret-class", class));
        }
        if let Some(deadline) = case.try_take_arg::<String>("deadline").unwrap() {
            headers.push(("x-egret-deadline-ms", deadline));
        }
        let reply = self.deployment().send_json_with_headers(
            Method::POST,
            entry,
            "/v1/completions",
            &headers,
            &body,
        );
        let Some(reply) = reply else {
            return "no answer".to_owned();
        };
        if reply.header("x-egret-outcome") != Some("done") {
            return describe_refusal(&reply);
        }
        let answer: Value = reply.json().unwrap_or_default();
        let text = expected_text(&model, tokens);
        let is_correct = reply.header("x-adapter") == Some(model.as_str())
            && answer["choices"][0]["text"] == json!(text);
        let result = if is_correct { "whole" } else { "WRONG" };
        let attempt = reply.header("x-attempt").unwrap_or("?");
        if case.take_flag("attempts").unwrap() {
            return format!("{} {result} from {model} attempt {attempt}", reply.status.as_u16());
        }
        format!("{} {result} from {model}", reply.status.as_u16())
    }

    /// Sends the request that the input holds: method and path, then the body. `repeat` repeats the
    /// body, `header_bytes` adds a header of that size.
    pub(super) fn send_raw(&self, case: &mut TestCase) -> String {
        let entry = self.entry_address(case);
        let repeat: usize = arg_or(case, "repeat", 1);
        let header_bytes = case.try_take_arg::<usize>("header_bytes").unwrap();
        let (request_line, body) =
            case.input.split_once('\n').expect("a line with method and path");
        let (method, path) = request_line.split_once(' ').expect("method and path");
        let body = body.trim_end().repeat(repeat);
        let mut headers = HeaderMap::new();
        if let Some(size) = header_bytes {
            headers.insert("x-large", "x".repeat(size).parse().unwrap());
        }
        let method: Method = method.parse().unwrap();
        let client = &self.deployment().client;
        let deadline = now().after_ms(ANSWER_TIMEOUT_MS);
        let reply = client.call(entry, method, path, &headers, body.into(), deadline);
        match self.deployment().block_on(reply) {
            Ok(reply) if reply.header("x-egret-outcome").is_some() => describe_refusal(&reply),
            Ok(reply) => reply.status.as_u16().to_string(),
            Err(_) => "no answer".to_owned(),
        }
    }

    /// Begins a stream and returns when its first part has been received.
    pub(super) fn begin_stream(&mut self, case: &mut TestCase) -> String {
        let entry = self.entry_address(case);
        let name: String = case.take_arg("name").unwrap();
        let (body, model, tokens) = completion_request(case, true);
        let (first_tx, first_rx) = std::sync::mpsc::channel();
        let stream = self.deployment().spawn_task(async move {
            use http_body_util::BodyExt;
            let client = HttpClient::unpooled();
            let deadline = now().after_ms(ANSWER_TIMEOUT_MS);
            let headers = HeaderMap::new();
            let path = "/v1/completions";
            let response = client.send_request(
                entry,
                Method::POST,
                path,
                &headers,
                body.to_string().into(),
                deadline,
            );
            let Ok(response) = response.await else {
                return "no answer".to_owned();
            };
            let status = response.status().as_u16();
            let mut body = response.into_body();
            let mut text = String::new();
            while let Some(Ok(frame)) = body.frame().await {
                text.push_str(&String::from_utf8_lossy(&frame.into_data().unwrap_or_default()));
                let _ = first_tx.send(());
            }
            let parts: Vec<String> = (0..tokens)
                .filter(|i| text.contains(&format!("\"{model}#{i} \"")))
                .map(|i| i.to_string())
                .collect();
            let is_complete = parts.len() as u64 == tokens && text.ends_with("data: [DONE]\n\n");
            if is_complete {
                return format!("{status} whole from {model}");
            }
            let has_end_marker = text.contains("[DONE]");
            let outcome =
                if text.contains("\"outcome\":\"unknown\"") { "unknown" } else { "nothing" };
            format!("{status} cut, end marker {has_end_marker}, said {outcome}")
        });
        self.streams.insert(name, stream);
        match first_rx.recv() {
            Ok(()) => "first part".to_owned(),
            Err(_) => "no part".to_owned(),
        }
    }

    /// Waits for the end of a stream.
    pub(super) fn end_stream(&mut self, case: &mut TestCase) -> String {
        let name: String = case.take_arg("name").unwrap();
        let stream = self.streams.shift_remove(&name).expect("stream-begin comes first");
        self.deployment().block_on(stream).unwrap_or_else(|e| e.to_string())
    }

    /// Sends a publication, which must not be executed more than once.
    pub(super) fn send_publication(&self, case: &mut TestCase) -> String {
        let entry = self.entry_address(case);
        let (headers, body) = publication_request(case);
        let path = "/services/studio/publications";
        match self.deployment().send_json_with_headers(Method::POST, entry, path, &headers, &body) {
            Some(reply) => describe_publication(&reply),
            None => "no answer".to_owned(),
        }
    }

    /// Sends the same publication to two entries at the same time.
    pub(super) fn publish_at_two_entries(&self, case: &mut TestCase) -> String {
        let rounds: usize = arg_or(case, "rounds", 1);
        let (first, second) =
            (self.deployment().layout.entry(0), self.deployment().layout.entry(1));
        let path = "/services/studio/publications";
        let mut done = 0;
        let mut not_run = 0;
        for round in 0..rounds {
            let mut headers = HeaderMap::new();
            headers.insert("x-caller", "scenario".parse().unwrap());
            headers.insert("idempotency-key", format!("twice-{round}").parse().unwrap());
            headers.insert(
                "idempotency-expires",
                (unix_ms() + KEY_LIFETIME_MS).to_string().parse().unwrap(),
            );
            let client = self.deployment().client.clone();
            let (other_client, other_headers) = (client.clone(), headers.clone());
            let deadline = now().after_ms(ANSWER_TIMEOUT_MS);
            let replies = self.deployment().block_on(async move {
                tokio::join!(
                    client.call(first, Method::POST, path, &headers, "{}".into(), deadline),
                    other_client.call(
                        second,
                        Method::POST,
                        path,
                        &other_headers,
                        "{}".into(),
                        deadline
                    ),
                )
            });
            for reply in [replies.0, replies.1].into_iter().flatten() {
                let outcome = reply.header("x-egret-outcome").unwrap_or_default();
                done += usize::from(outcome == "done");
                not_run += usize::from(outcome == "not_run");
            }
        }
        format!("at least one done in each round: {}, not_run: {not_run}", done >= rounds)
    }

    /// Counts the idempotency keys that took effect, and those that took effect more than once.
    pub(super) fn count_effects(&self, case: &mut TestCase) -> String {
        let deployment = self.deployment();
        let mut effects: IndexMap<String, usize> = IndexMap::new();
        for index in 0..deployment.spec.service_targets {
            let stats = deployment.get_json(deployment.layout.service_target(index), "/stats");
            for effect in stats.unwrap_or_default()["effects"].as_array().into_iter().flatten() {
                let key = effect["key"].as_str().unwrap_or_default().to_owned();
                *effects.entry(key).or_default() += 1;
            }
        }
        let repeated = effects.values().filter(|count| **count > 1).count();
        if case.take_flag("repeated").unwrap() {
            return format!("keys that took effect more than once: {repeated}");
        }
        format!("{} keys took effect, {repeated} more than once", effects.len())
    }

    /// Sends load and reports the invariants that must hold under any load.
    pub(super) fn send_load(&self, case: &mut TestCase) -> String {
        let deployment = self.deployment();
        let plan = self.load_plan(case);
        describe_load(&deployment.block_on(run_load(plan)), &deployment.log_tails())
    }

    /// Starts sending load in the background.
    pub(super) fn begin_load(&mut self, case: &mut TestCase) -> String {
        let plan = self.load_plan(case);
        self.background_loads.push(self.deployment().spawn_task(run_load(plan)));
        "begun".to_owned()
    }

    /// Waits for the end of the load and reports the invariants that must hold under any load.
    pub(super) fn end_load(&mut self) -> String {
        let load = self.background_loads.pop().expect("load-begin comes first");
        let report = self.deployment().block_on(load).expect("the load does not panic");
        describe_load(&report, &self.deployment().log_tails())
    }

    fn load_plan(&self, case: &mut TestCase) -> LoadPlan {
        let deployment = self.deployment();
        let entries: Vec<usize> = case
            .try_take_args("entries")
            .unwrap()
            .unwrap_or_else(|| (1..=deployment.spec.hosts).collect());
        LoadPlan {
            entries: entries.into_iter().map(|n| deployment.layout.entry(n - 1)).collect(),
            rate: arg_or(case, "rate", 20.0),
            seconds: arg_or(case, "seconds", 2),
            publication_share: 0.1,
            seed: arg_or(case, "seed", 1),
            ..deployment.load_plan()
        }
    }
}

/// Describes the invariants that must hold under any load. When answers are unknown, missing or
/// wrong, it returns the whole report and the logs instead.
fn describe_load(report: &LoadReport, logs: &str) -> String {
    if report.unknown + report.unanswered + report.wrong > 0 {
        return format!("{}\n{logs}", report.text().trim_end());
    }
    let answered_some = report.answered > 0;
    format!(
        "answered some: {answered_some}, wrong {}, unknown {}, silent {}, refusals without a time \
         to come back {}",
        report.wrong, report.unknown, report.unanswered, report.without_retry_after
    )
}

/// Returns the text that the engine stand-in generates.
fn expected_text(model: &str, tokens: u64) -> String {
    let token = |index| format!("{model}#{index} ");
    (0..tokens).map(token).collect::<Vec<_>>().concat()
}

/// Expands `a0.v1` to `base/a0@1`: arguments of the test language can't contain `/` or `@`.
pub(super) fn full_model_name(short_name: &str) -> String {
    format!("base/{}", short_name.replace(".v", "@"))
}

/// Returns the body of a completion request, its model and its number of tokens.
fn completion_request(case: &mut TestCase, stream: bool) -> (Value, String, u64) {
    let model = full_model_name(&case.take_arg::<String>("model").unwrap());
    let tokens: u64 = arg_or(case, "tokens", 4);
    let prompt: String = arg_or(case, "prompt", "hello".to_owned());
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream });
    (body, model, tokens)
}

/// Returns the headers and the body of a publication.
fn publication_request(case: &mut TestCase) -> (Vec<(&'static str, String)>, Value) {
    let key: String = case.take_arg("key").unwrap();
    let expired = case.take_flag("expired").unwrap();
    let lifetime_ms: i64 = arg_or(case, "expires_in", i64::try_from(KEY_LIFETIME_MS).unwrap_or(0));
    let body: String = arg_or(case, "body", "package".to_owned());
    let lifetime_ms = if expired { -1 } else { lifetime_ms };
    let expires_unix_ms = unix_ms().saturating_add_signed(lifetime_ms);
    let headers = vec![
        ("x-caller", "scenario".to_owned()),
        ("idempotency-key", key),
        ("idempotency-expires", expires_unix_ms.to_string()),
    ];
    (headers, json!({ "package": body }))
}

fn describe_publication(reply: &Reply) -> String {
    if reply.header("x-egret-outcome") != Some("done") {
        return describe_refusal(reply);
    }
    let repeated = reply.header("x-egret-repeated").unwrap_or("?");
    format!("{} done, repeated {repeated}", reply.status.as_u16())
}

/// Describes a refusal. Its headers, body and status must agree.
fn describe_refusal(reply: &Reply) -> String {
    let outcome = reply.header("x-egret-outcome").unwrap_or("?");
    let reason = reply.header("x-egret-reason").unwrap_or("?");
    let body: Value = reply.json().unwrap_or_default();
    let agrees = body["error"]["outcome"] == json!(outcome)
        && body["error"]["code"] == json!(reason)
        && body["error"]["message"].is_string();
    let retry = if reply.header("retry-after").is_some() { ", come back" } else { "" };
    let disagreement = if agrees { "" } else { ", BODY DISAGREES" };
    format!("{} {outcome} {reason}{retry}{disagreement}", reply.status.as_u16())
}
