//! Metrics for the platform's collector.

use {
    parking_lot::Mutex,
    prometheus_client::{
        encoding::text::encode,
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
};

/// Number of buckets of a latency histogram. The upper bound of the first is 1 ms, and each bound
/// is twice the one before.
const LATENCY_BUCKETS: u16 = 18;

/// Names and values of a counter's labels.
pub(crate) type Labels = Vec<(&'static str, String)>;

/// Metrics registry of one program.
#[derive(Debug, Default)]
pub struct Metrics {
    registry: Mutex<Registry>,
}

impl Metrics {
    /// Registers a counter.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.registry.lock().register(name, help, counter.clone());
        counter
    }

    /// Registers a family of counters with labels.
    #[must_use]
    pub fn counters(&self, name: &str, help: &str) -> Family<Labels, Counter> {
        let family = Family::default();
        self.registry.lock().register(name, help, family.clone());
        family
    }

    /// Registers a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.lock().register(name, help, gauge.clone());
        gauge
    }

    /// Registers a family of gauges.
    #[must_use]
    pub fn gauges(&self, name: &str, help: &str) -> Family<Labels, Gauge> {
        let family = Family::default();
        self.registry.lock().register(name, help, family.clone());
        family
    }

    /// Registers a histogram of durations in milliseconds.
    #[must_use]
    pub fn latency_ms(&self, name: &str, help: &str) -> Histogram {
        let histogram = Histogram::new(exponential_buckets(1.0, 2.0, LATENCY_BUCKETS));
        self.registry.lock().register(name, help, histogram.clone());
        histogram
    }

    /// Encodes all metrics in the `OpenMetrics` text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        let rendered = encode(&mut text, &self.registry.lock());
        rendered.map_or_else(|_| String::new(), |()| text)
    }
}
