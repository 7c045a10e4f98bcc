use super::Driver;
use crate::http::{Failure, Lane};
use hyssop_platform::dialect::{Call, Dialect, Reply};
use hyssop_policy::owner::{StartResult, TaskKey, WorkerKey};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Workers answer orders within milliseconds; an order without an answer is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer with this status or a higher one means that the worker has not acted on the order.
const STATUS_THROTTLED: u16 = 429;
/// The time beyond the requested wait after which a report counts as missed.
const REPORT_SLACK: Duration = Duration::from_millis(600);

impl Driver {
    fn address(&self, worker: WorkerKey) -> Option<SocketAddr> {
        Some(self.scheduler.borrow().worker(worker)?.listing.address)
    }

    /// Orders a worker to start a run and passes the answer to the scheduler.
    pub(super) async fn start_run(self: Rc<Self>, worker: WorkerKey, task: TaskKey, run: u64) {
        let Some(address) = self.address(worker) else {
            return;
        };
        let slot = self.node.client.slot(address, Lane::Order).await;
        if self.is_leaving.get() || !self.has_authority() {
            // The scheduler orders the start again while it has no answer for the run.
            return;
        }
        let now = self.node.clock.now();
        let Some(order) = self.scheduler.borrow_mut().order(worker, task, run, now) else {
            return;
        };
        let reply = slot
            .call(self.node.dialect.start(&order), ORDER_TIMEOUT)
            .await;
        let answer = match reply {
            Ok(reply) => StartResult::Answered(self.node.dialect.read_start(&reply)),
            Err(Failure::Unsent) => StartResult::Unsent,
            Err(Failure::Lost) => StartResult::Lost,
        };
        let outcome = match answer {
            StartResult::Answered(started) => started.to_string(),
            StartResult::Unsent => Failure::Unsent.to_string(),
            StartResult::Lost => Failure::Lost.to_string(),
        };
        self.node.metrics.count_start(&outcome);
        log::info!(
            "event=start task={} run={run} worker={} outcome={outcome} term={} confirmed_ms_ago={}",
            order.task,
            order.worker,
            order.fence,
            self.confirmation_age().as_millis()
        );
        let now = self.node.clock.now();
        self.scheduler
            .borrow_mut()
            .on_start_result(worker, task, run, answer, now);
        self.wake.notify_one();
    }

    /// Sends a worker an order about a run, in the next free slot; returns `None` if the worker is
    /// not registered any more or the term has ended.
    async fn send_order(
        &self,
        worker: WorkerKey,
        encode: impl FnOnce(&dyn Dialect, &str, u64) -> Call,
    ) -> Option<Result<Reply, Failure>> {
        let address = self.address(worker)?;
        let slot = self.node.client.slot(address, Lane::Order).await;
        let call = {
            let scheduler = self.scheduler.borrow();
            let state = scheduler
                .worker(worker)
                .filter(|_| !scheduler.is_deposed())?;
            encode(&*self.node.dialect, &state.listing.id, scheduler.term())
        };
        Some(slot.call(call, ORDER_TIMEOUT).await)
    }

    /// Orders a worker to stop a run and passes the answer to the scheduler.
    pub(super) async fn stop_run(self: Rc<Self>, worker: WorkerKey, task: String, run: u64) {
        let encode =
            |dialect: &dyn Dialect, id: &str, fence: u64| dialect.stop(id, &task, run, fence);
        let Some(reply) = self.send_order(worker, encode).await else {
            return;
        };
        let now = self.node.clock.now();
        let scheduler = &mut *self.scheduler.borrow_mut();
        match reply {
            Ok(reply) if self.node.dialect.is_other_incarnation(&reply) => {
                scheduler.remove_worker(worker, now);
            }
            reply => {
                let is_answered = reply.is_ok_and(|reply| reply.status < STATUS_THROTTLED);
                scheduler.on_stop_result(worker, &task, run, is_answered, now);
            }
        }
        self.wake.notify_one();
    }

    /// Orders a worker to limit a run to a share of its speed.
    pub(super) async fn pace_run(
        self: Rc<Self>,
        worker: WorkerKey,
        task: String,
        run: u64,
        percent: u32,
    ) {
        let encode = |dialect: &dyn Dialect, id: &str, fence: u64| {
            dialect.pace(id, &task, run, percent, fence)
        };
        if let Some(Err(failure)) = self.send_order(worker, encode).await {
            log::info!("event=pace-unanswered task={task} run={run} reason={failure}");
            self.scheduler.borrow_mut().retry_pace(worker, run);
        }
    }

    /// Asks the advice service which of the workers may run a step.
    pub(super) async fn request_advice(self: Rc<Self>, step: TaskKey, workers: Vec<WorkerKey>) {
        let requested_at = self.node.clock.now();
        let slot = match self.node.advice_address {
            Some(address) => Some(self.node.client.slot(address, Lane::Advice).await),
            None => None,
        };
        let sent_at = self.node.clock.now();
        let query = {
            let scheduler = &mut *self.scheduler.borrow_mut();
            scheduler.advice_query(step, &workers, sent_at)
        };
        let Some(query) = query else {
            self.scheduler.borrow_mut().on_advice_not_needed(step);
            self.wake.notify_one();
            return;
        };
        let answer = match slot {
            Some(slot) => {
                let call = self.node.dialect.advise(&query.step, &query.workers);
                let reply = slot.call(call, query.timeout).await.ok();
                reply.and_then(|reply| self.node.dialect.read_advice(&reply))
            }
            None => None,
        };
        let now = self.node.clock.now();
        log::info!(
            "event=advice step={} workers={} good={:?} valid_ms={:?} queued_ms={} answer_ms={}",
            query.step,
            query.workers.len(),
            answer.as_ref().map(|(good, _)| good.len()),
            answer.as_ref().map(|(_, valid_ms)| *valid_ms),
            sent_at.saturating_sub(requested_at).as_millis(),
            now.saturating_sub(sent_at).as_millis()
        );
        let answer = answer.map(|(good, valid_ms)| (good, Duration::from_millis(valid_ms)));
        self.scheduler.borrow_mut().on_advice(step, answer, now);
        self.wake.notify_one();
    }

    /// Renews the lease of all runs on a worker, acknowledges completions and requests a report.
    pub(super) async fn renew_worker(
        self: Rc<Self>,
        worker: WorkerKey,
        wait: Duration,
        extends: bool,
    ) {
        let Some(address) = self.address(worker) else {
            return;
        };
        let slot = self.node.client.slot(address, Lane::Renewal).await;
        let extends = extends && self.has_authority();
        let sent_at = self.node.clock.now();
        let Some(order) = self
            .scheduler
            .borrow_mut()
            .lease_renewal(worker, wait, extends, sent_at)
        else {
            return;
        };
        let reply = slot
            .call(self.node.dialect.renew(&order), wait + REPORT_SLACK)
            .await;
        let now = self.node.clock.now();
        let scheduler = &mut *self.scheduler.borrow_mut();
        match reply {
            Ok(reply) if self.node.dialect.is_other_incarnation(&reply) => {
                scheduler.remove_worker(worker, now);
            }
            Ok(reply) if self.node.dialect.is_fenced(&reply) => scheduler.depose(),
            Ok(reply) => match self.node.dialect.read_report(&reply) {
                Some(report) => scheduler.receive(worker, report, sent_at, order.acknowledged, now),
                None => {
                    log::info!(
                        "event=report-refused worker={} status={}",
                        order.worker,
                        reply.status
                    );
                    scheduler.on_report_failure(worker, now);
                }
            },
            Err(failure) => {
                if failure == Failure::Lost {
                    log::info!("event=report-missed worker={}", order.worker);
                    scheduler.on_renewal_lost(worker);
                }
                scheduler.on_report_failure(worker, now);
            }
        }
        self.wake.notify_one();
    }
}
