use super::{Forecasts, Intake, Rejections};
use crate::front::Denials;
use hyssop_policy::owner::AccountState;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// The process's metrics.
pub(crate) struct Metrics {
    registry: Registry,
    submissions: IntCounterVec,
    starts: IntCounterVec,
    transactions: IntCounterVec,
    transfers: IntCounterVec,
    refused_handovers: IntCounterVec,
    grant_writes: IntCounterVec,
    account_grants: IntGaugeVec,
    account_holdings: IntGaugeVec,
    account_waits: IntGaugeVec,
    /// The entries of followed lists that were rejected.
    pub(crate) rejections: Rejections,
    /// The denied requests of callers.
    pub(crate) denials: Denials,
    configuration_age: Gauge,
    /// How forecasts of durations compare with the durations.
    pub(crate) forecasts: Forecasts,
    /// What callers that are not trusted hold.
    pub(crate) intake: Intake,
    terms: IntGaugeVec,
    links: IntGauge,
    submission_seconds: Histogram,
    transaction_seconds: Histogram,
}

const SUBMISSION_BUCKETS: [f64; 8] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];
const TRANSACTION_BUCKETS: [f64; 8] = [0.01, 0.015, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0];

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which those below do not.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let counter =
                IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid name");
            let boxed = Box::new(counter.clone());
            registry.register(boxed).expect("a unique name");
            counter
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = Histogram::with_opts(options).expect("valid buckets");
            let boxed = Box::new(histogram.clone());
            registry.register(boxed).expect("a unique name");
            histogram
        };
        let submissions = counter(
            "hyssop_submissions_total",
            "Submissions of jobs by callers, by outcome",
            "outcome",
        );
        let starts = counter(
            "hyssop_starts_total",
            "Starts of runs, by outcome",
            "outcome",
        );
        let transactions = counter(
            "hyssop_transactions_total",
            "Transactions of owned shards, by verdict",
            "verdict",
        );
        let transfers = counter(
            "hyssop_transfers_total",
            "Orders to move or maintain instances, by outcome",
            "outcome",
        );
        let refused_handovers = counter(
            "hyssop_refused_handovers_total",
            "Handovers of pools that their next owner did not use, by reason",
            "reason",
        );
        let grant_writes = counter(
            "hyssop_grant_writes_total",
            "Transactions that change the grants of accounts' quotas, by outcome",
            "outcome",
        );
        let gauge = |name: &str, help: &str, label: &str| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &[label]).expect("a valid name");
            let boxed = Box::new(gauge.clone());
            registry.register(boxed).expect("a unique name");
            gauge
        };
        let account_grants = gauge(
            "hyssop_account_grant_millionths",
            "Share of an account's quota granted to the pools of this process",
            "account",
        );
        let account_holdings = gauge(
            "hyssop_account_held_millionths",
            "Share of an account's quota that its tasks hold in the pools of this process",
            "account",
        );
        let account_waits = gauge(
            "hyssop_account_waiting_pools",
            "Pools of this process in which tasks wait for the account's quota",
            "account",
        );
        let rejections = Rejections::new(counter(
            "hyssop_rejected_entries_total",
            "Entries of followed lists that were rejected, once for each change, by list",
            "list",
        ));
        let denials = Denials::new(counter(
            "hyssop_denied_requests_total",
            "Requests that were denied for their key or account or the age of the configuration, by reason",
            "reason",
        ));
        let configuration_age = Gauge::new(
            "hyssop_configuration_age_seconds",
            "Time for which a newer configuration may exist than the one in force; -1 if unknown",
        )
        .expect("a valid name");
        registry
            .register(Box::new(configuration_age.clone()))
            .expect("a unique name");
        let submission_seconds = histogram(
            "hyssop_submission_seconds",
            "Time from a job's arrival to its answer, in seconds",
            &SUBMISSION_BUCKETS,
        );
        let transaction_seconds = histogram(
            "hyssop_transaction_seconds",
            "Time from the first attempt of a transaction to its verdict, in seconds",
            &TRANSACTION_BUCKETS,
        );
        let gauges = |name: &str, help: &str, label: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]).expect("a valid name");
            let boxed = Box::new(gauges.clone());
            registry.register(boxed).expect("a unique name");
            gauges
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("a valid name");
            let boxed = Box::new(gauge.clone());
            registry.register(boxed).expect("a unique name");
            gauge
        };
        let terms = gauges(
            "hyssop_owner_term",
            "Term of each shard owned by this process",
            "part",
        );
        let links = gauge("hyssop_peer_links", "Links of this process to peers");
        let intake = Intake {
            bytes: gauge(
                "hyssop_intake_bytes",
                "Bytes of requests that callers and probes hold",
            ),
            bytes_left: gauge(
                "hyssop_intake_bytes_left",
                "Bytes that they may hold beyond",
            ),
            peer_bytes: gauge(
                "hyssop_intake_peer_bytes",
                "Bytes of frames and answers that peers hold",
            ),
            peer_bytes_left: gauge(
                "hyssop_intake_peer_bytes_left",
                "Bytes that peers may hold beyond",
            ),
            job_bytes: gauge(
                "hyssop_intake_job_bytes",
                "Bytes that accepted jobs hold, as an upper estimate",
            ),
            job_bytes_left: gauge(
                "hyssop_intake_job_bytes_left",
                "Bytes that the jobs of all pools of the process may hold beyond",
            ),
            connections: gauges(
                "hyssop_intake_connections",
                "Open connections that were accepted, by listener",
                "listener",
            ),
            connections_left: gauges(
                "hyssop_intake_connections_left",
                "Connections that may be accepted beyond, by listener",
                "listener",
            ),
            refusals: counter(
                "hyssop_intake_refusals_total",
                "Requests refused and connections closed for a limit or a shortage, by reason",
                "reason",
            ),
        };
        let forecasts = Forecasts::new(&registry);
        Self {
            registry,
            submissions,
            starts,
            transactions,
            transfers,
            refused_handovers,
            grant_writes,
            account_grants,
            account_holdings,
            account_waits,
            rejections,
            denials,
            configuration_age,
            forecasts,
            intake,
            terms,
            links,
            submission_seconds,
            transaction_seconds,
        }
    }

    pub(crate) fn count_submission(&self, outcome: &str, duration: Duration) {
        self.submissions.with_label_values(&[outcome]).inc();
        self.submission_seconds.observe(duration.as_secs_f64());
    }

    pub(crate) fn count_start(&self, outcome: &str) {
        self.starts.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_transaction(&self, verdict: &str, duration: Duration) {
        self.transactions.with_label_values(&[verdict]).inc();
        self.transaction_seconds.observe(duration.as_secs_f64());
    }

    pub(crate) fn count_transfer(&self, outcome: &str) {
        self.transfers.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_refused_handover(&self, reason: &str) {
        self.refused_handovers.with_label_values(&[reason]).inc();
    }

    pub(crate) fn count_grant_write(&self, outcome: &str) {
        self.grant_writes.with_label_values(&[outcome]).inc();
    }

    /// Sets the state of the accounts in each pool of this process, and removes that of all others.
    pub(crate) fn set_accounts(&self, states: &[AccountState]) {
        /// Bounds the time series: the accounts beyond the first ones in the order of their names count
        /// as one. 620 accounts are expected within two years.
        const MAX_ACCOUNTS: usize = 620;
        const OTHERS: &str = "other";
        self.account_grants.reset();
        self.account_holdings.reset();
        self.account_waits.reset();
        let names: BTreeSet<&str> = states.iter().map(|state| state.account.as_str()).collect();
        let named: BTreeSet<&str> = names.into_iter().take(MAX_ACCOUNTS).collect();
        for state in states {
            let name = named.get(state.account.as_str()).unwrap_or(&OTHERS);
            let add = |gauge: &IntGaugeVec, value: u64| {
                let value = i64::try_from(value).unwrap_or(i64::MAX);
                gauge.with_label_values(&[*name]).add(value);
            };
            add(&self.account_grants, state.grant);
            add(&self.account_holdings, state.held);
            add(&self.account_waits, u64::from(state.is_waiting));
        }
    }

    /// Sets the terms of the owned shards and removes those of all others.
    pub(crate) fn set_terms(&self, owned: &[(String, u64)]) {
        self.terms.reset();
        for (shard, term) in owned {
            self.terms.with_label_values(&[shard]).set(*term as i64);
        }
    }

    pub(crate) fn set_configuration_age(&self, age: Option<Duration>) {
        let seconds = age.map_or(-1.0, |age| age.as_secs_f64());
        self.configuration_age.set(seconds);
    }

    pub(crate) fn set_links(&self, count: usize) {
        self.links.set(count as i64);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics-failed reason={error:?}");
        }
        text
    }
}
