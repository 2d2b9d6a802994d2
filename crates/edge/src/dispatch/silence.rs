//! Requests whose target is silent. They are sent to other targets as well, and the first answer
//! counts: a silent target may go on at any time, so it is given up only for an answer.

use {
    super::{
        accounts,
        attempt::{self, HealthSignal, TargetAnswer, record_health},
        crash_suspects,
        placement::{self, Eligibility, Placed, Placement, select_target},
        request::SharedRequest,
        resumption,
        serve::RequestSender,
    },
    crate::{
        state::{Edge, RepeatPermit},
        watch,
    },
    egret_core::{SendEnd, StreamHead, Target, Time},
    egret_runtime::now,
    faststr::FastStr,
    futures::{
        future::{BoxFuture, FutureExt, pending},
        stream::{FuturesUnordered, StreamExt},
    },
    std::{pin::pin, sync::Arc, time::Duration},
};

/// Time after which another target is looked for again if none could take the request.
const SEARCH_INTERVAL_MS: u64 = 400;

/// What a target that takes the request over has to answer.
#[derive(Clone, Debug)]
pub(crate) enum ResumePoint {
    /// The caller has no answer yet. A stream begins after this event, if the caller named one.
    Head(Option<u64>),
    /// The answer has begun with this head, and the stream goes on after this event.
    Stream(StreamHead, Option<u64>),
}

impl ResumePoint {
    fn last_event(&self) -> Option<u64> {
        match self {
            Self::Head(last_event) | Self::Stream(_, last_event) => *last_event,
        }
    }

    fn accepts(&self, answer: &TargetAnswer) -> bool {
        match self {
            Self::Head(_) => !answer.status.is_server_error(),
            Self::Stream(begun, _) => begun.is_continued_by(&answer.stream_head()),
        }
    }
}

/// What came of waiting for a silent target.
pub(crate) enum SilenceEnd<T> {
    /// The target went on, or it failed and no other one has answered.
    Answered(T),
    /// Another target has answered.
    Moved {
        /// The head of its answer.
        answer: Box<TargetAnswer>,
        /// Set if the silent target had failed before.
        failure: Option<T>,
    },
}

// the target found for a request, and engines that did not load its adapter in time
type Search = BoxFuture<'static, (Option<Placed>, Vec<FastStr>)>;

impl RequestSender {
    /// Waits for `next`, the next result of the silent `target`, and meanwhile sends the request to
    /// other targets as well, to a further one when they are silent too. `failed_end` returns how
    /// the send ended if the result is a failure.
    pub(crate) async fn wait_or_move<T>(
        &mut self,
        target: &Target,
        resume_point: ResumePoint,
        next: impl Future<Output = T>,
        failed_end: impl Fn(&T) -> Option<SendEnd>,
    ) -> SilenceEnd<T> {
        record_health(&self.edge, target, HealthSignal::Failure);
        watch::record_unreached(&self.edge, target);
        let mut next = pin!(next);
        let mut failure: Option<(T, SendEnd)> = None;
        let mut fallback = None;
        let mut second_sends = FuturesUnordered::new();
        let mut search: Option<Search> = None;
        let mut search_at = now();
        // targets that may take the request later
        let mut refused_targets = self.refused_targets.clone();
        let mut tried_targets = self.tried_targets.clone();
        tried_targets.retain(|tried| !refused_targets.contains(tried));
        tried_targets.push(target.id.clone());
        loop {
            if second_sends.is_empty()
                && let Some((result, end)) = failure
            {
                return match fallback {
                    Some(answer) => self.finish_moved(target, answer, Some((result, end))),
                    None => SilenceEnd::Answered(result),
                };
            }
            tokio::select! {
                biased;
                result = next.as_mut(), if failure.is_none() => {
                    let Some(end) = failed_end(&result) else {
                        self.sends.abandon_second_sends();
                        return SilenceEnd::Answered(result);
                    };
                    failure = Some((result, end));
                }
                Some((id, sent)) = second_sends.next(), if !second_sends.is_empty() => {
                    let end = match sent {
                        Ok(answer) if resume_point.accepts(&answer) => {
                            return self.finish_moved(target, answer, failure);
                        }
                        Ok(answer) => {
                            record_health(&self.edge, &answer.target, HealthSignal::Failure);
                            fallback = matches!(resume_point, ResumePoint::Head(_)).then_some(answer);
                            SendEnd::Failed
                        }
                        Err(end) => end,
                    };
                    self.sends.end_second_send(end);
                    if matches!(end, SendEnd::Refused) {
                        tried_targets.retain(|tried| *tried != id);
                        refused_targets.push(id);
                    }
                    search_at = now();
                }
                (found, not_loaded) = run_search(&mut search) => {
                    search = None;
                    tried_targets.extend(not_loaded);
                    search_at = now().after_ms(SEARCH_INTERVAL_MS);
                    if let Some(other) = found
                        && !crash_suspects::is_refused(&self.edge, &self.out, true)
                        && accounts::check_before_send(&self.edge, &self.out).is_ok()
                        && let Some(permit) =
                            self.edge.reserve_repeat(&self.out.selected.service.name)
                    {
                        self.sends.start_second_send();
                        // another target is looked for once this one is silent as well
                        search_at = self.head_deadline();
                        tried_targets.push(other.target.id.clone());
                        let last_event = resume_point.last_event();
                        second_sends.push(self.send_second(other, last_event, search_at, permit));
                    }
                }
                () = wait_until(search_at), if search.is_none() => {
                    let excluded = [&tried_targets[..], &refused_targets].concat();
                    if self.may_search(&excluded) {
                        search = Some(self.search(excluded));
                    } else {
                        refused_targets.clear();
                    }
                    search_at = now().after_ms(SEARCH_INTERVAL_MS);
                }
            }
        }
    }

    fn may_search(&self, tried_targets: &[FastStr]) -> bool {
        self.sends.can_reroute()
            && !self.edge.is_cut_off(&self.out.selected.service.name)
            && now() < self.out.deadline
            && self.has_alternative(tried_targets)
            && self.edge.has_retry_budget(&self.out.selected.service.name)
    }

    fn search(&self, excluded: Vec<FastStr>) -> Search {
        let (edge, out) = (self.edge.clone(), self.out.clone());
        find_target(edge, out, self.software_version.clone(), excluded, self.waiting_since).boxed()
    }

    fn send_second(
        &self,
        placed: Placed,
        last_event: Option<u64>,
        connect_deadline: Time,
        permit: RepeatPermit,
    ) -> impl Future<Output = (FastStr, Result<TargetAnswer, SendEnd>)> + Send + use<> {
        let (edge, out) = (self.edge.clone(), self.out.clone());
        async move {
            let id = placed.target.id.clone();
            let permit = Some(Arc::new(permit));
            (id, attempt::send(&edge, &out, placed, last_event, connect_deadline, permit).await)
        }
    }

    fn finish_moved<T>(
        &mut self,
        silent: &Target,
        answer: TargetAnswer,
        failure: Option<(T, SendEnd)>,
    ) -> SilenceEnd<T> {
        self.tried_targets.push(silent.id.clone());
        let silent_end = failure.as_ref().map_or(SendEnd::Lost, |(_, end)| *end);
        self.sends.accept_second_send(silent_end);
        if failure.is_none() {
            // the other kept connections to the silent target may be broken as well
            self.edge.connections.close_kept(&silent.id);
            attempt::record_failure(&self.edge, &self.out, silent, SendEnd::Lost, "silent");
        }
        let failure = failure.map(|(result, _)| result);
        SilenceEnd::Moved { answer: Box::new(answer), failure }
    }
}

async fn find_target(
    edge: Arc<Edge>,
    out: SharedRequest,
    software_version: Option<FastStr>,
    mut excluded: Vec<FastStr>,
    waiting_since: Time,
) -> (Option<Placed>, Vec<FastStr>) {
    let mut not_loaded = Vec::new();
    loop {
        let begin_versions = resumption::begin_versions(&edge, &out);
        let eligibility = Eligibility {
            tried: &excluded,
            software_version: software_version.as_ref(),
            begin_versions: &begin_versions,
        };
        match select_target(&edge, &out, eligibility, waiting_since).await {
            Placement::Target(placed) => return (Some(placed), not_loaded),
            // the engine or its owner is unreachable or busy; another engine is tried
            Placement::AdapterNotLoaded(engine)
                if now() < placement::load_deadline(&out, waiting_since) =>
            {
                excluded.push(engine.clone());
                not_loaded.push(engine);
            }
            Placement::AdapterNotLoaded(_) | Placement::NoTarget => return (None, not_loaded),
        }
    }
}

async fn run_search(search: &mut Option<Search>) -> (Option<Placed>, Vec<FastStr>) {
    match search {
        Some(search) => search.await,
        None => pending().await,
    }
}

async fn wait_until(at: Time) {
    tokio::time::sleep(Duration::from_millis(now().ms_until(at))).await;
}
