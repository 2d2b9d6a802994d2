//! Time of reports of crashes and of judging requests, with as many crashes known as are kept, beside a
//! reference that counts anew at each change.

#[path = "../tests/naive/mod.rs"]
mod naive;

use {
    criterion::{BatchSize, Criterion},
    egret_core::{CrashReports, Fingerprint, Suspect, Time},
    faststr::FastStr,
    naive::NaiveCrashReports,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::hint::black_box,
};

const CRASHES: u64 = 255;
const NOW: Time = Time::from_millis(1000);

// suspects of one crash: half of them parts that many prompts share
fn suspects(random: &mut ChaCha8Rng, count: usize) -> Vec<Suspect> {
    let part = |number: u64| Suspect::Part(Fingerprint(number));
    let content = |number: u64| Suspect::Content(Fingerprint(number));
    let parts: Vec<_> = (0..count / 2).map(|_| part(random.random_range(0..1000))).collect();
    let contents = (0..count / 2).map(|_| content(random.random()));
    parts.into_iter().chain(contents).collect()
}

fn crash_id(number: u64) -> (FastStr, u64) {
    (FastStr::from_string(format!("t-{number}")), 1)
}

fn bench_reports(c: &mut Criterion) {
    for count in [128, 1024] {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let (mut fast, mut naive) = (CrashReports::default(), NaiveCrashReports::default());
        for number in 0..CRASHES {
            let suspects = suspects(&mut random, count);
            fast.record_crash(NOW, crash_id(number), suspects.iter().copied());
            naive.record_crash(NOW, crash_id(number), suspects);
        }
        let last = suspects(&mut random, count);
        c.bench_function(&format!("record_crash, {count} suspects"), |b| {
            let report = |mut reports: CrashReports| {
                reports.record_crash(NOW, crash_id(CRASHES), last.iter().copied());
                reports
            };
            b.iter_batched(|| fast.clone(), report, BatchSize::LargeInput);
        });
        c.bench_function(&format!("record_crash, {count} suspects, counted anew"), |b| {
            let report = |mut reports: NaiveCrashReports| {
                reports.record_crash(NOW, crash_id(CRASHES), last.iter().copied());
                reports
            };
            b.iter_batched(|| naive.clone(), report, BatchSize::LargeInput);
        });
        assert_eq!(fast.refused().count(), naive.refused().count());
        let request = &last[..4];
        assert_eq!(fast.is_suspected(NOW, request), naive.is_suspected(NOW, request));
        c.bench_function(&format!("judge, {count} suspects a crash"), |b| {
            b.iter(|| black_box(fast.judge(NOW, request, false)));
        });
        c.bench_function(&format!("judge, {count} suspects a crash, counted anew"), |b| {
            b.iter(|| black_box(naive.judge(NOW, request, false)));
        });
        c.bench_function(&format!("record_sound, {count} suspects a crash"), |b| {
            let clear = |mut reports: CrashReports| {
                reports.record_sound(NOW, request.iter().copied());
                reports
            };
            b.iter_batched(|| fast.clone(), clear, BatchSize::LargeInput);
        });
        c.bench_function(&format!("record_sound, {count} suspects a crash, counted anew"), |b| {
            let clear = |mut reports: NaiveCrashReports| {
                reports.record_sound(NOW, request.iter().copied());
                reports
            };
            b.iter_batched(|| naive.clone(), clear, BatchSize::LargeInput);
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    bench_reports(&mut criterion);
    criterion.final_summary();
}
