//! Slots of one engine: batches, suspects, gathering, failed loads, takeover, restarts.

use {
    egret_core::{
        Effect, EngineLimits, EngineSlots, Fingerprint, LoadResult, ModelName, OrderKind,
        PriorityClass, Reason, RequestKey, SlotSettings, TicketEnd, TicketRequest, Time, Weights,
    },
    faststr::FastStr,
    indexmap::IndexSet,
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn model(number: u32) -> ModelName {
    ModelName::new("b".into(), FastStr::from_string(format!("a{number}")), 1)
}

fn key(number: u32) -> RequestKey {
    RequestKey {
        entry: "entry".into(),
        incarnation: 1,
        request: FastStr::from_string(format!("r{number}")),
        attempt: 1,
    }
}

fn request(number: u32, adapter: u32) -> TicketRequest {
    TicketRequest {
        key: key(number),
        model: model(adapter),
        caller: "caller".into(),
        class: PriorityClass::Interactive,
        deadline: at(60_000),
        fingerprint: Fingerprint(u64::from(number)),
        suspect: false,
        resident_copies: 1,
    }
}

/// Slots that may load, with the first `adapters` adapters resident.
fn slots(adapters: u32, settings: SlotSettings) -> EngineSlots {
    let limits = EngineLimits { adapter_slots: 2, batch: 3 };
    let mut slots = EngineSlots::new(limits, settings, 7);
    let resident: IndexSet<ModelName> = (0..adapters).map(model).collect();
    slots.sync_resident(at(1), at(1), 1, &resident);
    slots.tick(at(0), true, false);
    slots
}

fn granted(effects: &[Effect]) -> Vec<RequestKey> {
    let grant = |effect: &Effect| match effect {
        Effect::Grant(grant) => Some(grant.key.clone()),
        _ => None,
    };
    effects.iter().filter_map(grant).collect()
}

fn refused(effects: &[Effect]) -> Vec<Reason> {
    let refusal = |effect: &Effect| match effect {
        Effect::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    };
    effects.iter().filter_map(refusal).collect()
}

#[test]
fn acquire_grants_at_most_the_batch() {
    let mut slots = slots(1, SlotSettings::default());
    let all: usize = (0..10).map(|n| granted(&slots.acquire(at(1), request(n, 0))).len()).sum();
    assert_eq!(all, 3);
    assert_eq!(granted(&slots.release(at(2), &key(0), TicketEnd::Done)), [key(3)]);
}

#[test]
fn acquire_suspect_runs_alone() {
    let mut slots = slots(1, SlotSettings::default());
    slots.acquire(at(1), request(0, 0));
    let suspect = TicketRequest { suspect: true, ..request(1, 0) };
    assert!(granted(&slots.acquire(at(1), suspect)).is_empty());
    assert_eq!(granted(&slots.release(at(2), &key(0), TicketEnd::Done)), [key(1)]);
    // No other request runs beside the suspect.
    assert!(granted(&slots.acquire(at(3), request(2, 0))).is_empty());
    assert_eq!(granted(&slots.release(at(4), &key(1), TicketEnd::Done)), [key(2)]);
}

#[test]
fn release_abandoned_keeps_the_pin_until_the_engine_confirms() {
    let mut slots = slots(1, SlotSettings::default());
    slots.acquire(at(1), request(0, 0));
    let effects = slots.release(at(2), &key(0), TicketEnd::Abandoned);
    assert!(matches!(effects[..], [Effect::Cancel(_)]));
    assert!(slots.is_pinned(&model(0)));
    slots.confirm_cancel(at(3), &key(0));
    assert!(!slots.is_pinned(&model(0)));
}

#[test]
fn acquire_deadline_out_of_reach_is_refused_at_once() {
    let mut slots = slots(1, SlotSettings::default());
    let late = TicketRequest { deadline: at(100), ..request(0, 1) };
    assert_eq!(refused(&slots.acquire(at(1), late)), [Reason::Deadline]);
}

#[test]
fn acquire_missing_adapter_without_lease_is_refused_at_once() {
    let mut slots = slots(1, SlotSettings::default());
    slots.tick(at(1), false, false);
    assert_eq!(refused(&slots.acquire(at(2), request(0, 1))), [Reason::LoadsPaused]);
    assert_eq!(granted(&slots.acquire(at(2), request(1, 0))).len(), 1);
}

#[test]
fn finish_load_failure_refuses_waiting_requests_and_backs_off() {
    let mut slots = slots(0, SlotSettings::default());
    slots.acquire(at(1), request(0, 1));
    slots.acquire(at(1), request(1, 1));
    let effects = slots.begin_load(at(2), &model(1), 0);
    assert!(matches!(&effects[..], [Effect::Order(o)] if o.kind == OrderKind::Load));
    let effects = slots.finish_load(at(3), &model(1), LoadResult::Failed);
    assert_eq!(refused(&effects), [Reason::LoadFailed, Reason::LoadFailed]);
    assert!(effects.contains(&Effect::FreePermit(0)));
    // Each of them got one final answer.
    assert!(refused(&slots.tick(at(3), true, false)).is_empty());
    assert_eq!(refused(&slots.acquire(at(4), request(2, 1))), [Reason::LoadFailed]);
    assert!(refused(&slots.acquire(at(600), request(3, 1))).is_empty());
}

#[test]
fn begin_load_evicts_only_unused_and_unrequested_adapters() {
    let mut slots = slots(2, SlotSettings::default());
    slots.acquire(at(1), request(0, 0));
    slots.acquire(at(1), request(1, 5));
    let effects = slots.begin_load(at(2), &model(5), 0);
    let Some(Effect::Order(order)) = effects.first() else {
        panic!("{effects:?}");
    };
    assert_eq!((order.kind, &order.model), (OrderKind::Unload, &model(1)));
    let effects = slots.finish_unload(at(3), &model(1), LoadResult::Done);
    assert!(matches!(&effects[..], [Effect::Order(o)] if o.model == model(5)));
    assert_eq!(granted(&slots.finish_load(at(4), &model(5), LoadResult::Done)), [key(1)]);
}

#[test]
fn begin_load_waits_for_registration_after_a_takeover() {
    let mut slots = slots(2, SlotSettings::default());
    slots.set_required_entries(["other".into()].into_iter().collect());
    slots.acquire(at(1), request(0, 5));
    assert!(slots.begin_load(at(2), &model(5), 0).is_empty());
    slots.register_entry(at(3), &"other".into(), 1, Vec::new());
    assert_eq!(slots.begin_load(at(4), &model(5), 0).len(), 1);
}

#[test]
fn finish_unload_lost_answer_blocks_grants_until_a_later_probe() {
    let mut slots = slots(2, SlotSettings::default());
    slots.acquire(at(1), request(0, 5));
    slots.begin_load(at(2), &model(5), 0);
    slots.finish_unload(at(3), &model(0), LoadResult::Lost);
    slots.finish_unload(at(3), &model(1), LoadResult::Lost);
    let unsure = if slots.is_ready(&model(0)) { model(1) } else { model(0) };
    let number = u32::from(unsure == model(1));
    assert!(granted(&slots.acquire(at(4), request(1, number))).is_empty());
    let listed: IndexSet<ModelName> = [model(0), model(1)].into_iter().collect();
    // This list was requested while the order might still be carried out.
    slots.sync_resident(at(100), at(100), 1, &listed);
    assert!(!slots.is_ready(&unsure));
    slots.sync_resident(at(9000), at(9000), 1, &listed);
    assert!(slots.is_ready(&unsure));
}

#[test]
fn sync_resident_list_older_than_an_unload_restores_nothing() {
    let mut slots = slots(2, SlotSettings::default());
    slots.acquire(at(1), request(0, 5));
    let effects = slots.begin_load(at(10), &model(5), 0);
    let Some(Effect::Order(order)) = effects.first() else {
        panic!("{effects:?}");
    };
    let victim = order.model.clone();
    slots.finish_unload(at(20), &victim, LoadResult::Done);
    let listed: IndexSet<ModelName> = [model(0), model(1)].into_iter().collect();
    slots.sync_resident(at(21), at(15), 1, &listed);
    assert!(!slots.is_ready(&victim));
}

#[test]
fn sync_resident_restart_returns_running_contents_and_clears_slots() {
    let mut slots = slots(1, SlotSettings::default());
    slots.acquire(at(1), request(3, 0));
    let (crashed, _) = slots.sync_resident(at(10), at(10), 2, &IndexSet::new());
    assert_eq!(crashed, [Fingerprint(3)]);
    assert!(!slots.is_ready(&model(0)));
    // The same crash is not counted again when its entry reports late.
    slots.release(at(11), &key(3), TicketEnd::Broken);
    let (crashed, _) = slots.sync_resident(at(12), at(12), 2, &IndexSet::new());
    assert!(crashed.is_empty());
}

#[test]
fn mark_down_then_restart_counts_one_crash() {
    let mut slots = slots(1, SlotSettings::default());
    slots.acquire(at(1), request(3, 0));
    let (crashed, _) = slots.mark_down(at(5));
    assert_eq!(crashed, [Fingerprint(3)]);
    assert_eq!(refused(&slots.acquire(at(6), request(4, 0))), [Reason::NoTarget]);
    slots.release(at(7), &key(3), TicketEnd::Broken);
    let (crashed, _) = slots.sync_resident(at(8), at(8), 2, &IndexSet::new());
    assert!(crashed.is_empty());
}

#[test]
fn gather_delays_background_until_group_is_full_or_time_is_up() {
    let weights =
        Weights { gather_ms: 10_000, gather_most: 3, gather_slack_ms: 1000, ..Weights::default() };
    let settings = SlotSettings { weights, ..SlotSettings::default() };
    let mut slots = slots(1, settings);
    let background = |n| TicketRequest { class: PriorityClass::Background, ..request(n, 0) };
    assert!(granted(&slots.acquire(at(1), background(0))).is_empty());
    assert!(granted(&slots.acquire(at(2), background(1))).is_empty());
    assert_eq!(granted(&slots.acquire(at(3), background(2))).len(), 3);
    (0..3).for_each(|n| {
        slots.release(at(4), &key(n), TicketEnd::Done);
    });
    assert!(granted(&slots.acquire(at(5), background(3))).is_empty());
    assert_eq!(granted(&slots.tick(at(10_005), true, false)), [key(3)]);
    slots.release(at(10_006), &key(3), TicketEnd::Done);
    // Live requests never gather.
    let live = TicketRequest { class: PriorityClass::Live, ..request(4, 0) };
    assert_eq!(granted(&slots.acquire(at(10_007), live)), [key(4)]);
}

#[test]
fn acquire_flood_of_one_caller_leaves_queue_space() {
    let settings = SlotSettings { caller_queue_max: 4, ..SlotSettings::default() };
    let mut slots = slots(1, settings);
    let refusals: Vec<Reason> =
        (0..20).flat_map(|n| refused(&slots.acquire(at(1), request(n, 0)))).collect();
    assert_eq!(refusals.len(), 20 - 3 - 4);
    assert!(refusals.iter().all(|r| *r == Reason::CallerLimit));
    let other = TicketRequest { caller: "other".into(), ..request(100, 0) };
    assert!(refused(&slots.acquire(at(1), other)).is_empty());
    // The other caller's request is served before the rest of the flood.
    assert_eq!(granted(&slots.release(at(2), &key(0), TicketEnd::Done)), [key(100)]);
}
