//! Metrics of an edge host.

use {
    egret_core::{Account, TargetPace},
    egret_runtime::{Body, BodyReadError, Metrics},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    prometheus_client::metrics::{
        counter::Counter, family::Family, gauge::Gauge, histogram::Histogram,
    },
};

type Labels = Vec<(&'static str, String)>;

/// Highest number of accounts with counters of their own; the others are counted together.
const COUNTED_ACCOUNTS_MAX: usize = 64;

/// Metrics of the edge host.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) answers: Family<Labels, Counter>,
    account_answers: Family<Labels, Counter>,
    counted_accounts: Mutex<IndexSet<FastStr>>,
    pub(crate) sends_failed: Family<Labels, Counter>,
    repeats: Family<Labels, Counter>,
    relayed: Family<Labels, Counter>,
    /// Time from taking a repeat out of the retry budget until it is sent.
    pub(crate) repeat_wait_ms: Histogram,
    body_refusals: Family<Labels, Counter>,
    /// Requests refused since as many are served as may be.
    pub(crate) refused_busy: Counter,
    /// Memory that the bodies of requests take.
    pub(crate) body_bytes: Gauge,
    /// Open connections of callers, when a request last came.
    pub(crate) caller_connections: Gauge,
    /// Connections of callers closed at the limit of their number since the start.
    pub(crate) connections_closed: Gauge,
    target_refusals: Family<Labels, Counter>,
    places: Family<Labels, Counter>,
    tokens: Family<Labels, Counter>,
    allowance_units: Family<Labels, Counter>,
    pub(crate) orders: Family<Labels, Counter>,
    pub(crate) resumptions: Family<Labels, Counter>,
    pub(crate) streams_without_target: Counter,
    unframed_ends: Family<Labels, Counter>,
    pub(crate) start_reports: Counter,
    pub(crate) origins_dropped: Counter,
    update_bytes: Family<Labels, Counter>,
    link_bytes: Family<Labels, Counter>,
    link_messages: Family<Labels, Counter>,
    pub(crate) first_part_ms: Histogram,
    pub(crate) load_stalls_ms: Histogram,
    /// Limit on loads from the weight store over all engines.
    pub(crate) load_limit: Gauge,
    /// Learned time of a load at full speed.
    pub(crate) cold_load_ms: Gauge,
    target_paces: Family<Labels, Gauge>,
    cut_off: Family<Labels, Gauge>,
}

impl Counts {
    /// Registers the metrics.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            answers: metrics.counters("egret_answers", "Final answers by outcome"),
            account_answers: metrics.counters(
                "egret_account_answers",
                "Final answers to requests with a key by account and outcome",
            ),
            counted_accounts: Mutex::default(),
            sends_failed: metrics.counters("egret_sends_failed", "Failed sends by reason"),
            repeats: metrics
                .counters("egret_repeats", "Repeated sends by service and what became of them"),
            relayed: metrics.counters(
                "egret_relayed",
                "Requests passed on to another host, by what became of them",
            ),
            repeat_wait_ms: metrics
                .latency_ms("egret_repeat_wait_ms", "Time from taking a repeat to sending it"),
            body_refusals: metrics.counters(
                "egret_body_refusals",
                "Requests refused because of their bodies, by reason",
            ),
            refused_busy: metrics.counter(
                "egret_requests_refused_busy",
                "Requests refused since as many are served as may be",
            ),
            body_bytes: metrics
                .gauge("egret_body_bytes", "Memory that the bodies of requests take"),
            caller_connections: metrics
                .gauge("egret_caller_connections", "Open connections of callers"),
            connections_closed: metrics.gauge(
                "egret_caller_connections_closed",
                "Connections of callers closed at the limit of their number",
            ),
            target_refusals: metrics.counters(
                "egret_target_refusals",
                "Refusals by targets with status 503, by service, whether the target is brittle, and \
                 whether it was believed to have a free slot",
            ),
            places: metrics.counters(
                "egret_places",
                "Places for requests to brittle targets, by issuer and answer",
            ),
            tokens: metrics.counters(
                "egret_rate_limit_tokens",
                "Tokens for requests to targets that limit their rate, by issuer and answer",
            ),
            allowance_units: metrics.counters(
                "egret_allowance_units",
                "Units of accounts with an allowance, by account and what became of them",
            ),
            orders: metrics.counters("egret_orders", "Orders to engines by answer"),
            resumptions: metrics.counters(
                "egret_resumptions",
                "Requests that resume a stream, by what is known of its software version",
            ),
            streams_without_target: metrics.counter(
                "egret_streams_without_target",
                "Streams that found no target of their software version",
            ),
            unframed_ends: metrics.counters(
                "egret_unframed_ends",
                "Answers whose end is that of their connection, by kind and how they ended",
            ),
            start_reports: metrics.counter(
                "egret_start_reports",
                "Reports that targets were asked for because their start was not known",
            ),
            origins_dropped: metrics.counter(
                "egret_stream_origins_dropped",
                "Origins of streams dropped before they were written to the store",
            ),
            update_bytes: metrics.counters(
                "egret_update_bytes",
                "Bytes of updates exchanged with other hosts, by direction and content",
            ),
            link_bytes: metrics.counters(
                "egret_link_bytes",
                "Bytes of messages sent to other hosts, by kind and whether they leave the data centre",
            ),
            link_messages: metrics.counters(
                "egret_link_messages",
                "Messages sent to other hosts, by kind and whether they leave the data centre",
            ),
            first_part_ms: metrics.latency_ms("egret_first_part_ms", "Time to the first part"),
            load_stalls_ms: metrics.latency_ms("egret_load_stall_ms", "Waits for an adapter load"),
            load_limit: metrics.gauge("egret_load_limit", "Loads from the weight store at once"),
            cold_load_ms: metrics
                .gauge("egret_cold_load_ms", "Learned time of a load at full speed"),
            cut_off: metrics
                .gauges("egret_cut_off", "1 while the host reaches no target of a service"),
            target_paces: metrics.gauges(
                "egret_target_pace_milli",
                "Time that a target takes over the median of its service, if it is not even",
            ),
        }
    }
}

/// Targets whose pace is a metric of its own.
const PACE_TARGETS_MAX: usize = 64;

impl Counts {
    /// Counts an answer to a request of `account`. Requests without an account are not counted.
    pub(crate) fn record_account_answer(&self, account: Option<&Account>, outcome: &'static str) {
        if let Some(account) = account {
            let name = self.counted_name(&account.name);
            let labels = vec![("account", name), ("outcome", outcome.to_owned())];
            self.account_answers.get_or_create(&labels).inc();
        }
    }

    /// Counts a repeated send to `service` that was sent, or denied by the retry budget.
    pub(crate) fn record_repeat(&self, service: &FastStr, outcome: &'static str) {
        let labels = vec![("service", service.to_string()), ("outcome", outcome.to_owned())];
        self.repeats.get_or_create(&labels).inc();
    }

    /// Records whether this host reaches no target of `service`.
    pub(crate) fn record_cut_off(&self, service: &FastStr, is_cut_off: bool) {
        let labels = vec![("service", service.to_string())];
        self.cut_off.get_or_create(&labels).set(i64::from(is_cut_off));
    }

    /// Counts the end of an answer that nothing but the end of its connection marks. `result` is `whole`
    /// if the target is known to live, `target_down`, `unproven`, or `broken` if it shows in the answer.
    pub(crate) fn record_unframed_end(&self, is_stream: bool, result: &'static str) {
        let kind = if is_stream { "stream" } else { "plain" };
        let labels = vec![("kind", kind.to_owned()), ("result", result.to_owned())];
        self.unframed_ends.get_or_create(&labels).inc();
    }

    /// Counts a request that was passed on to another host.
    pub(crate) fn record_relayed(&self, outcome: &'static str) {
        self.relayed.get_or_create(&vec![("outcome", outcome.to_owned())]).inc();
    }

    /// Counts a request that was refused because of its key.
    pub(crate) fn record_key_refusal(&self, outcome: &'static str) {
        let labels = vec![("account", "unknown".to_owned()), ("outcome", outcome.to_owned())];
        self.account_answers.get_or_create(&labels).inc();
    }

    fn counted_name(&self, name: &FastStr) -> String {
        let mut counted = self.counted_accounts.lock();
        if counted.contains(name) {
            return name.to_string();
        }
        if counted.len() >= COUNTED_ACCOUNTS_MAX {
            return "other".to_owned();
        }
        counted.insert(name.clone());
        name.to_string()
    }

    /// Shows the paces that differ from even, of a bounded number of targets.
    pub(crate) fn record_paces(&self, paces: &IndexMap<FastStr, TargetPace>) {
        self.target_paces.clear();
        for (target, pace) in paces.iter().take(PACE_TARGETS_MAX) {
            let labels = vec![("target", target.to_string())];
            self.target_paces.get_or_create(&labels).set(pace.milli.cast_signed());
        }
    }

    /// Counts a request that is refused because of its body.
    pub(crate) fn record_body_refusal(&self, reason: BodyReadError) {
        let reason = match reason {
            BodyReadError::TooLarge => "too_large",
            BodyReadError::Broken => "broken",
            BodyReadError::TimedOut => "late",
            BodyReadError::NoRoom => "no_memory",
        };
        self.body_refusals.get_or_create(&vec![("reason", reason.to_owned())]).inc();
    }

    /// Counts a refusal by a target of `service` with status 503. `is_full` is true if more requests were
    /// believed to be there than it has slots.
    pub(crate) fn record_target_refusal(&self, service: &FastStr, is_brittle: bool, is_full: bool) {
        let labels = vec![
            ("service", service.to_string()),
            ("target", if is_brittle { "brittle" } else { "sound" }.to_owned()),
            ("believed", if is_full { "full" } else { "free" }.to_owned()),
        ];
        self.target_refusals.get_or_create(&labels).inc();
    }

    /// Counts a place that was wanted. `issuer` is `self`, `other`, or `none` if it did not answer.
    pub(crate) fn record_place(&self, issuer: &'static str, is_granted: bool) {
        let answer = if is_granted { "granted" } else { "denied" };
        let labels = vec![("issuer", issuer.to_owned()), ("answer", answer.to_owned())];
        self.places.get_or_create(&labels).inc();
    }

    /// Counts a token that was wanted. `issuer` is `self`, `other`, or `none` if it did not answer.
    pub(crate) fn record_token(&self, issuer: &'static str, is_granted: bool) {
        let answer = if is_granted { "granted" } else { "denied" };
        let labels = vec![("issuer", issuer.to_owned()), ("answer", answer.to_owned())];
        self.tokens.get_or_create(&labels).inc();
    }

    /// Counts units of `account`. `outcome` is `granted`, `refused`, or `expired` if they were held in
    /// advance and returned. Accounts beyond the first ones are counted together.
    pub(crate) fn record_allowance(&self, account: &FastStr, outcome: &'static str, units: u64) {
        let name = self.counted_name(account);
        let labels = vec![("account", name), ("outcome", outcome.to_owned())];
        self.allowance_units.get_or_create(&labels).inc_by(units);
    }

    /// Counts a message of `bytes` bytes to another host.
    pub(crate) fn record_link_bytes(&self, kind: &'static str, is_local: bool, bytes: usize) {
        let to = if is_local { "same_data_centre" } else { "other_data_centre" };
        let labels = vec![("kind", kind.to_owned()), ("to", to.to_owned())];
        self.link_bytes.get_or_create(&labels).inc_by(bytes as u64);
        self.link_messages.get_or_create(&labels).inc();
    }

    /// Name of a kind of message.
    pub(crate) const fn kind_of(body: &Body) -> &'static str {
        match body {
            Body::Spread(_) => "spread",
            Body::TargetLoads(_) => "target_loads",
            Body::PlatformSnapshot(_) | Body::TargetChanges(_) | Body::FetchTargets(_) => {
                "store_update"
            }
            Body::LoadAdapter(_) => "load_adapter",
            Body::Suspects(_) => "suspects",
            Body::StreamOrigins(_) | Body::FindStreamOrigin(_) | Body::WriteDeclaration(_) => {
                "stream_origins"
            }
            Body::FetchRoutes(_) | Body::Routes(_) => "routes",
            Body::TakeToken(_) | Body::Token(_) => "tokens",
            Body::TakePlace(_) | Body::Place(_) | Body::OpenPlaces(_) => "places",
            Body::AskViewAge(_) | Body::ViewAge(_) => "view_age",
            Body::TakeAllowance(_) | Body::AllowanceGrant(_) => "allowances",
            _ => "other",
        }
    }

    /// Counts an update of `bytes` bytes, `direction` is `sent` or `received`.
    pub(crate) fn record_update_bytes(
        &self,
        direction: &'static str,
        has_routes: bool,
        bytes: usize,
    ) {
        let content = if has_routes { "routes" } else { "targets" };
        let labels = vec![("direction", direction.to_owned()), ("content", content.to_owned())];
        self.update_bytes.get_or_create(&labels).inc_by(bytes as u64);
    }
}
