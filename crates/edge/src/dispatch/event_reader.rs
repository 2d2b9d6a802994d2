//! Reads the events of an answer.

use {
    bytes::Bytes,
    egret_core::{EventError, EventSplitter, EventWait, EventWaitStep},
    egret_runtime::{now, with_deadline},
    futures::FutureExt,
    http_body_util::BodyExt,
    hyper::body::Incoming,
};

/// What comes next of an answer.
#[derive(Debug)]
pub(super) enum NextEvents {
    /// Complete events, or comments.
    Complete(Bytes),
    /// The body has ended, between two events if `is_whole` is set.
    Ended { is_whole: bool },
    /// The connection broke off.
    Broken(hyper::Error),
    /// The bytes are no part of the stream.
    Invalid(EventError),
    /// There was no event in time.
    Silent,
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// Reads until there are complete events. Other bytes do not prolong the wait, however fast they come.
/// Comments are passed on unless another target may go on meanwhile.
pub(super) async fn read_events(
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    wait: EventWait,
    drops_comments: bool,
) -> NextEvents {
    let content_before = splitter.content_count();
    loop {
        let next = match wait.step(now()) {
            EventWaitStep::Wait(until) => match with_deadline(until, body.frame()).await {
                Some(next) => next,
                None => continue,
            },
            EventWaitStep::TakeReady => match body.frame().now_or_never() {
                Some(next) => next,
                None => return NextEvents::DeadlinePassed,
            },
            EventWaitStep::Silent => return NextEvents::Silent,
            EventWaitStep::DeadlinePassed => return NextEvents::DeadlinePassed,
        };
        let frame = match next {
            Some(Ok(frame)) => frame,
            Some(Err(e)) => return NextEvents::Broken(e),
            None => return NextEvents::Ended { is_whole: splitter.is_at_boundary() },
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match splitter.push(&data) {
            Ok(complete) if complete.is_empty() => {}
            Ok(_) if drops_comments && splitter.content_count() == content_before => {}
            Ok(complete) => return NextEvents::Complete(complete),
            Err(e) => return NextEvents::Invalid(e),
        }
    }
}
