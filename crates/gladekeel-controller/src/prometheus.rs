//! The Prometheus text exposition format.
//!
//! This module takes names, labels and numbers, and does not depend on the node. It adds the
//! prefix `gladekeel_` to every metric name.

use hdrhistogram::Histogram;
use std::fmt::Write as _;

/// Longest duration that a histogram resolves, in microseconds. Longer durations are recorded as
/// this value.
const MAX_MICROSECONDS: u64 = 60_000_000;
/// Number of significant decimal digits of a recorded duration.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The quantiles that are exposed for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// The type of a metric, as the `# TYPE` line names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MetricType {
    Counter,
    Gauge,
    Summary,
}

impl MetricType {
    fn name(self) -> &'static str {
        match self {
            MetricType::Counter => "counter",
            MetricType::Gauge => "gauge",
            MetricType::Summary => "summary",
        }
    }
}

/// The distribution of the durations that were recorded since the process started.
#[derive(Debug)]
pub(crate) struct DurationHistogram {
    histogram: Histogram<u64>,
    sum_s: f64,
    max_s: f64,
}

impl Default for DurationHistogram {
    fn default() -> DurationHistogram {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        DurationHistogram { histogram, sum_s: 0.0, max_s: 0.0 }
    }
}

impl DurationHistogram {
    /// Records one duration.
    pub fn record(&mut self, seconds: f64) {
        self.histogram.saturating_record((seconds * 1e6) as u64);
        self.sum_s += seconds;
        self.max_s = self.max_s.max(seconds);
    }

    /// The number of recorded durations.
    pub fn count(&self) -> f64 {
        self.histogram.len() as f64
    }

    /// The sum of all recorded durations, in seconds.
    pub fn sum_s(&self) -> f64 {
        self.sum_s
    }

    /// The longest recorded duration, in seconds.
    pub fn max_s(&self) -> f64 {
        self.max_s
    }

    /// The exposed quantiles, each with its duration in seconds.
    pub fn quantiles(&self) -> impl Iterator<Item = (f64, f64)> {
        QUANTILES
            .into_iter()
            .map(|quantile| (quantile, self.histogram.value_at_quantile(quantile) as f64 / 1e6))
    }
}

/// Builds an exposition in the text format.
#[derive(Debug, Default)]
pub(crate) struct Exposition(String);

impl Exposition {
    /// The text written so far.
    pub fn into_text(self) -> String {
        self.0
    }

    /// Writes the `# HELP` and `# TYPE` lines that precede a metric's samples.
    pub fn header(&mut self, metric_type: MetricType, name: &str, help: &str) {
        let metric_type = metric_type.name();
        // Writing to a String cannot fail.
        let _ = writeln!(
            self.0,
            "# HELP gladekeel_{name} {help}\n# TYPE gladekeel_{name} {metric_type}"
        );
    }

    /// Writes a sample of a metric whose header has been written.
    pub fn sample(&mut self, name: &str, labels: &[(&str, &str)], value: f64) {
        let labels: Vec<String> =
            labels.iter().map(|(label, text)| format!("{label}=\"{text}\"")).collect();
        let labels =
            if labels.is_empty() { String::new() } else { format!("{{{}}}", labels.join(",")) };
        let _ = writeln!(self.0, "gladekeel_{name}{labels} {value}");
    }

    /// Writes a gauge without labels.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        self.header(MetricType::Gauge, name, help);
        self.sample(name, &[], value);
    }

    /// Writes a counter without labels.
    pub fn counter(&mut self, name: &str, help: &str, value: f64) {
        self.header(MetricType::Counter, name, help);
        self.sample(name, &[], value);
    }

    /// Writes a metric with one sample for each value of a label.
    pub fn family(
        &mut self,
        metric_type: MetricType,
        name: &str,
        help: &str,
        label: &str,
        samples: impl IntoIterator<Item = (impl AsRef<str>, f64)>,
    ) {
        self.header(metric_type, name, help);
        for (label_value, value) in samples {
            self.sample(name, &[(label, label_value.as_ref())], value);
        }
    }
}
