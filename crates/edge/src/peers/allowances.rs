//! Units of the allowances of accounts: asks the issuer of an account for them, in one message for
//! all accounts of an issuer, and issues them to other hosts.

use {
    super::{gossip::live_hosts, links, rate_limits},
    crate::{conf::AllowanceSettings, state::Edge},
    egret_core::{
        Account, AllowanceAnswer, AllowanceBounds, AllowanceQuestion, Allowances, ChargeDecision,
        QUESTION_COSTS_MAX, Time,
    },
    egret_runtime::{
        AccountDemandMsg, AccountGrantMsg, AllowanceGrantMsg, Body, TakeAllowanceMsg, events, now,
    },
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    std::{sync::Arc, time::Duration},
    tokio::sync::{Notify, oneshot},
};

/// Longest time for which a request waits for units. It is still in time then.
const WAIT_MAX_MS: u64 = 100;

/// Longest wait for an issuer's answer. A request that waits for the question to be sent is then
/// answered within [`WAIT_MAX_MS`].
const ANSWER_TIMEOUT_MS: u64 = 80;

/// Least time between two questions to an issuer, so that requests are asked for together.
const ASK_INTERVAL_MS: u64 = 20;

/// Time between looks at the live hosts and at units that are no longer needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Requests that may wait for one issuer. Further ones use this host's part, so that a flood of them
/// takes no memory.
const WAITING_MAX: usize = 1024;

/// Checks after which accounts that are no longer needed are forgotten.
const CHECKS_PER_CLEANUP: u64 = 50;

/// Time without a refusal after which an account is within its allowance again.
const LIMITED_MS: u64 = 5000;

/// The bounds where the deployment states none.
const DEFAULT_BOUNDS: AllowanceBounds =
    AllowanceBounds { window_ms: 8000, overage_milli: 100, slack: 0 };

/// Units charged for a request.
#[derive(Debug)]
#[must_use = "a request that did not run is to be refunded"]
pub(crate) struct Charge {
    account: FastStr,
    units: u64,
}

impl Charge {
    /// Gives back the units of a request that certainly did not run.
    pub(crate) fn refund(self, edge: &Edge) {
        if self.units > 0 {
            edge.allowances.units.lock().refund(now(), &self.account, self.units);
        }
    }
}

/// Allowances of accounts, and the requests that wait for units.
#[derive(Debug)]
pub(crate) struct AllowanceExchange {
    units: Mutex<Allowances>,
    waiting: Mutex<Waiting>,
    // notified when a request waits for an issuer that is not being asked
    wanted: Notify,
    // accounts of which requests were refused recently
    limited: Mutex<IndexMap<FastStr, Limited>>,
}

#[derive(Debug, Default)]
struct Waiting {
    by_issuer: IndexMap<FastStr, Vec<WaitingRequest>>,
    // issuers that a task asks
    asked: IndexSet<FastStr>,
}

#[derive(Debug)]
struct WaitingRequest {
    account: Account,
    cost: u64,
    decided: oneshot::Sender<ChargeDecision>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Limited {
    last_at: Time,
    refused: u64,
    units: u64,
}

impl AllowanceExchange {
    /// Creates the state of a host that knows no other one yet.
    pub(crate) fn new(host: FastStr, settings: Option<&AllowanceSettings>) -> Self {
        let bounds = settings.map_or(DEFAULT_BOUNDS, AllowanceSettings::bounds);
        Self {
            units: Mutex::new(Allowances::new(now(), host, bounds)),
            waiting: Mutex::default(),
            wanted: Notify::new(),
            limited: Mutex::default(),
        }
    }
}

/// Charges a request of `units` units to `account`.
///
/// # Errors
///
/// If the account has used its allowance. The time is the one at which the caller may come back.
pub(crate) async fn charge(edge: &Edge, account: &Account, units: u64) -> Result<Charge, Time> {
    if account.allowance.is_none() {
        return Ok(Charge { account: account.name.clone(), units: 0 });
    }
    let mut decision = edge.allowances.units.lock().charge(now(), account, units);
    if decision == ChargeDecision::Ask {
        decision = match wait_for_issuer(edge, account, units).await {
            Some(decision) => decision,
            None => edge.allowances.units.lock().charge_unanswered(now(), account, units),
        };
    }
    match decision {
        ChargeDecision::Granted => {
            edge.counts.record_allowance(&account.name, "granted", units);
            Ok(Charge { account: account.name.clone(), units })
        }
        ChargeDecision::Refused { until } => {
            edge.counts.record_allowance(&account.name, "refused", units);
            record_refusal(edge, account, units, until);
            Err(until)
        }
        // the issuer has changed while the request waited
        ChargeDecision::Ask => Err(now().after_ms(WAIT_MAX_MS)),
    }
}

// none if there is no answer in time
async fn wait_for_issuer(edge: &Edge, account: &Account, cost: u64) -> Option<ChargeDecision> {
    let issuer = edge.allowances.units.lock().other_issuer(&account.name).cloned()?;
    let (decided, decision) = oneshot::channel();
    {
        let mut waiting = edge.allowances.waiting.lock();
        let requests = waiting.by_issuer.entry(issuer).or_default();
        if requests.len() >= WAITING_MAX {
            return None;
        }
        // without the digests of its keys
        let (name, allowance) = (account.name.clone(), account.allowance);
        let account = Account { name, urgency: account.urgency, allowance, keys: Vec::new() };
        requests.push(WaitingRequest { account, cost, decided });
    }
    edge.allowances.wanted.notify_one();
    tokio::time::timeout(Duration::from_millis(WAIT_MAX_MS), decision).await.ok()?.ok()
}

/// Asks issuers for the units of requests that wait, and returns units that are no longer needed.
pub(super) async fn run(edge: Arc<Edge>) {
    let mut check = tokio::time::interval(CHECK_INTERVAL);
    let mut checks = 0_u64;
    check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = edge.allowances.wanted.notified() => start_asking(&edge),
            _ = check.tick() => {
                checks += 1;
                check_units(&edge, checks.is_multiple_of(CHECKS_PER_CLEANUP));
            }
        }
    }
}

fn start_asking(edge: &Arc<Edge>) {
    let mut waiting = edge.allowances.waiting.lock();
    let issuers: Vec<FastStr> = waiting.by_issuer.keys().cloned().collect();
    for issuer in issuers {
        if waiting.asked.insert(issuer.clone()) {
            tokio::spawn(ask_while_wanted(edge.clone(), issuer));
        }
    }
}

// requests that come while a question is under way go with the next one
async fn ask_while_wanted(edge: Arc<Edge>, issuer: FastStr) {
    loop {
        let requests = take_batch(&edge, &issuer);
        if requests.is_empty() {
            return;
        }
        let next_at = now().after_ms(ASK_INTERVAL_MS);
        ask(&edge, &issuer, requests).await;
        tokio::time::sleep(Duration::from_millis(now().ms_until(next_at))).await;
    }
}

// the requests for the next question, by account. If there are none, the issuer is no longer asked.
fn take_batch(edge: &Edge, issuer: &FastStr) -> IndexMap<FastStr, Vec<WaitingRequest>> {
    let mut waiting = edge.allowances.waiting.lock();
    let Some(requests) = waiting.by_issuer.swap_remove(issuer) else {
        waiting.asked.swap_remove(issuer);
        return IndexMap::new();
    };
    let mut batch: IndexMap<FastStr, Vec<WaitingRequest>> = IndexMap::new();
    let mut rest = Vec::new();
    for request in requests {
        if request.decided.is_closed() {
            continue;
        }
        let of_account = batch.entry(request.account.name.clone()).or_default();
        if of_account.len() < QUESTION_COSTS_MAX {
            of_account.push(request);
        } else {
            rest.push(request);
        }
    }
    if batch.is_empty() {
        waiting.asked.swap_remove(issuer);
    } else if !rest.is_empty() {
        waiting.by_issuer.insert(issuer.clone(), rest);
    }
    batch
}

async fn ask(edge: &Edge, issuer: &FastStr, batch: IndexMap<FastStr, Vec<WaitingRequest>>) {
    let accounts = {
        let mut units = edge.allowances.units.lock();
        let demand = batch.iter().map(|(account, requests)| {
            let costs = requests.iter().map(|request| request.cost).collect();
            demand_message(account, units.question(now(), account, costs))
        });
        demand.collect()
    };
    let question = Body::TakeAllowance(TakeAllowanceMsg { accounts });
    let deadline = now().after_ms(ANSWER_TIMEOUT_MS);
    let grants = match links::call(edge, issuer, question, deadline).await {
        Ok(Body::AllowanceGrant(message)) if message.accounts.len() == batch.len() => {
            message.accounts
        }
        Ok(_) | Err(_) => Vec::new(),
    };
    if grants.is_empty() {
        if edge.allowances.units.lock().record_silence(now(), issuer) {
            events::ISSUER_SILENT.info(format_args!("issuer={issuer} accounts={}", batch.len()));
        }
    } else if edge.allowances.units.lock().record_answer(issuer) {
        events::ISSUER_ANSWERS.info(format_args!("issuer={issuer}"));
    }
    let mut grants = grants.into_iter();
    for requests in batch.into_values() {
        decide(edge, requests, grants.next().filter(|grant| grant.is_issuer));
    }
}

// decides the requests of one account
fn decide(edge: &Edge, requests: Vec<WaitingRequest>, grant: Option<AccountGrantMsg>) {
    let Some(account) = requests.first().map(|request| request.account.name.clone()) else {
        return;
    };
    let decisions = {
        let mut units = edge.allowances.units.lock();
        if let Some(grant) = grant {
            let costs: Vec<u64> = requests.iter().map(|request| request.cost).collect();
            units.apply_answer(now(), &account, &costs, &answer_from_message(grant))
        } else {
            // a request that was given up in the meantime is charged for its part by its own task
            let waiting = requests.iter();
            let decision = |r: &WaitingRequest| units.charge_unanswered(now(), &r.account, r.cost);
            waiting.map(decision).collect()
        }
    };
    for (request, decision) in requests.into_iter().zip(decisions) {
        let cost = request.cost;
        if let Err(ChargeDecision::Granted) = request.decided.send(decision) {
            // the request has been given up
            edge.allowances.units.lock().refund(now(), &account, cost);
        }
    }
}

/// Answers another host's question for units; none if it only returns some.
pub(super) fn answer_take(edge: &Edge, host: &str, message: TakeAllowanceMsg) -> Option<Body> {
    let (host, routing) = (FastStr::new(host), edge.routing());
    let is_question = message.accounts.iter().any(|demand| !demand.costs.is_empty());
    let mut units = edge.allowances.units.lock();
    let mut grants = Vec::with_capacity(message.accounts.len());
    for demand in message.accounts {
        let account = routing.accounts.get(&demand.account);
        let question = AllowanceQuestion {
            costs: demand.costs,
            advance: demand.advance,
            held: demand.held,
            returned: demand.returned,
        };
        let answer = account.and_then(|account| units.answer(now(), &host, account, &question));
        grants.push(answer.map_or_else(AccountGrantMsg::default, grant_message));
    }
    drop(units);
    is_question.then_some(Body::AllowanceGrant(AllowanceGrantMsg { accounts: grants }))
}

// looks at the live hosts, and returns units that were not used
fn check_units(edge: &Edge, is_cleanup: bool) {
    let routing = edge.routing();
    // where there may be accounts, an issuer has to know since when it is one
    if routing.accounts.is_empty() && edge.cfg.allowances.is_none() {
        return;
    }
    let live = live_hosts(edge);
    let known = rate_limits::host_counts(edge).known;
    let returns = {
        let mut units = edge.allowances.units.lock();
        units.observe_hosts(now(), live.iter(), known);
        if is_cleanup {
            units.remove_idle(now());
            units.retain_accounts(|account| routing.accounts.get(account).is_some());
        }
        units.take_expired(now())
    };
    let mut by_issuer: IndexMap<FastStr, Vec<AccountDemandMsg>> = IndexMap::new();
    for (issuer, account, question) in returns {
        edge.counts.record_allowance(&account, "expired", question.returned);
        by_issuer.entry(issuer).or_default().push(demand_message(&account, question));
    }
    for (issuer, accounts) in by_issuer {
        links::notify(edge, &issuer, Body::TakeAllowance(TakeAllowanceMsg { accounts }));
    }
    report_accounts_within(edge);
}

fn record_refusal(edge: &Edge, account: &Account, units: u64, until: Time) {
    let is_new = {
        let mut limited = edge.allowances.limited.lock();
        let is_new = !limited.contains_key(&account.name);
        let entry = limited.entry(account.name.clone()).or_default();
        entry.last_at = now();
        entry.refused += 1;
        entry.units = entry.units.saturating_add(units);
        is_new
    };
    if is_new {
        let issuer = {
            let units = edge.allowances.units.lock();
            let issuer = units.other_issuer(&account.name).cloned();
            match issuer {
                None => "self".to_owned(),
                Some(issuer) if units.is_silent(&issuer) => format!("none silent={issuer}"),
                Some(issuer) => issuer.to_string(),
            }
        };
        let allowance = account.allowance.as_ref();
        events::ACCOUNT_LIMITED.info(format_args!(
            "account={} units={units} wait_ms={} rate_per_s={:?} burst={:?} issuer={issuer}",
            account.name,
            now().ms_until(until),
            allowance.map(|a| a.rate_per_s),
            allowance.map(|a| a.burst),
        ));
    }
}

fn report_accounts_within(edge: &Edge) {
    let mut within = Vec::new();
    edge.allowances.limited.lock().retain(|account, entry| {
        let is_limited = now() < entry.last_at.after_ms(LIMITED_MS);
        if !is_limited {
            within.push((account.clone(), *entry));
        }
        is_limited
    });
    for (account, entry) in within {
        events::ACCOUNT_WITHIN_ALLOWANCE.info(format_args!(
            "account={account} refused={} units={}",
            entry.refused, entry.units
        ));
    }
}

fn demand_message(account: &FastStr, question: AllowanceQuestion) -> AccountDemandMsg {
    AccountDemandMsg {
        account: account.to_string(),
        costs: question.costs,
        advance: question.advance,
        held: question.held,
        returned: question.returned,
    }
}

fn grant_message(answer: AllowanceAnswer) -> AccountGrantMsg {
    AccountGrantMsg {
        is_issuer: true,
        granted: answer.granted,
        advance: answer.advance,
        available: answer.available,
        rate_per_s: answer.rate_per_s,
        denied: answer.denied,
        unused: answer.unused,
    }
}

fn answer_from_message(message: AccountGrantMsg) -> AllowanceAnswer {
    AllowanceAnswer {
        granted: message.granted,
        advance: message.advance,
        available: message.available,
        rate_per_s: message.rate_per_s,
        denied: message.denied,
        unused: message.unused,
    }
}
