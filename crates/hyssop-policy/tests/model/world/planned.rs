use super::{Event, Takeover, World};
use hyssop_policy::owner::{Refusal, Scheduler};

/// How a planned stop of the newest owner goes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlannedStop {
    /// The time that the call which releases the pool takes.
    pub release_ms: i64,
    /// Whether that call doesn't reach the store.
    pub is_release_lost: bool,
    /// The time from the release until the next owner begins its takeover.
    pub pause_ms: i64,
    /// The longest time by which calls under way reach workers late.
    pub late_ms: u64,
    /// Whether the process is frozen once it has released the pool.
    pub freezes: bool,
    /// How the next owner takes over.
    pub takeover: Takeover,
}

/// How long an owner that stops waits for its last changes to be stored, and how often it checks.
const FLUSH_MS: i64 = 600;
const FLUSH_CHECK_MS: i64 = 10;
/// The silence after which an owner that has released nothing is replaced.
const SILENCE_MS: i64 = 700;

impl World {
    /// Begins a planned stop of the newest owner, unless it is frozen or leaving; returns whether it
    /// did.
    pub fn stop_owner(&mut self, stop: PlannedStop) -> bool {
        if !self.has_owner() || self.owners.last().is_some_and(|owner| owner.is_paused) {
            return false;
        }
        let Some(process) = self.owners.last_mut() else {
            return false;
        };
        process.is_leaving = true;
        process.scheduler.begin_handover();
        let term = process.scheduler.term();
        self.trace("", || format!("term {term} stops as planned: {stop:?}"));
        self.delay_calls(term, stop.late_ms);
        let check = Event::FlushChecked(term, stop, self.now_ms + FLUSH_MS);
        self.schedule(0, check);
        true
    }

    /// Delays the calls of `term` that are on their way to workers.
    fn delay_calls(&mut self, term: u64, late_ms: u64) {
        if late_ms == 0 {
            return;
        }
        let is_call = |event: &Event| match event {
            Event::StartArrives(of, ..)
            | Event::StopArrives(of, ..)
            | Event::RenewalArrives(of, ..) => *of == term,
            _ => false,
        };
        let calls = self.events.iter().filter(|(_, event)| is_call(event));
        let keys: Vec<(i64, u64)> = calls.map(|(key, _)| *key).collect();
        for key in keys {
            let delay_ms = self.pick(0..late_ms) as i64;
            if let Some(event) = self.events.remove(&key) {
                self.events.insert((key.0 + delay_ms, key.1), event);
            }
        }
    }

    pub(super) fn check_flush(&mut self, term: u64, stop: PlannedStop, until_ms: i64) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let Some(process) = self.process(term) else {
            return;
        };
        if process.scheduler.has_uncommitted() && now_ms < until_ms {
            let check = Event::FlushChecked(term, stop, until_ms);
            self.schedule(FLUSH_CHECK_MS, check);
            return;
        }
        let is_deposed = process.scheduler.is_deposed();
        let value = (!is_deposed).then(|| process.scheduler.hand_over(now));
        let arrival = Event::ReleaseArrives(term, stop, value.flatten(), now_ms);
        self.schedule(stop.release_ms, arrival);
    }

    /// Stores the release of `term`, after which its process acts no more, and begins the takeover.
    pub(super) fn release(
        &mut self,
        term: u64,
        stop: PlannedStop,
        value: Option<Vec<u8>>,
        written_ms: i64,
    ) {
        let is_cut = self.process(term).is_none_or(|p| p.is_cut_from_store);
        let reaches_store = self.is_store_up && !is_cut && !stop.is_release_lost;
        let is_released = reaches_store && self.store.release(term, value);
        self.trace("", || format!("term {term} is released: {is_released}"));
        if let Some(process) = self.process(term) {
            process.scheduler.depose();
            process.is_paused = stop.freezes;
        }
        if term != self.store.term {
            return;
        }
        if is_released {
            self.presence.on_handover(written_ms);
        }
        let silence_ms = if is_released { 0 } else { SILENCE_MS };
        let replaced = self.store.term;
        let arrival = Event::TakeoverArrives(stop.takeover, replaced, self.now_ms);
        let delay_ms = silence_ms + stop.pause_ms + stop.takeover.commit_ms;
        self.schedule(delay_ms, arrival);
    }

    /// Releases the term that has just begun without acting, and begins the next takeover.
    pub(super) fn pass_on(&mut self, takeover: Takeover) {
        self.store.is_released = true;
        let next = Takeover {
            passed_on: takeover.passed_on - 1,
            ..takeover
        };
        let arrival = Event::TakeoverArrives(next, self.store.term, self.now_ms);
        self.schedule(takeover.commit_ms.max(super::HOP_MS), arrival);
    }

    /// Lets a scheduler that has recovered the rows use the handover that the owner's row names.
    pub(super) fn accept_handover(&mut self, scheduler: &mut Scheduler, takeover: Takeover) {
        let Some(term) = self.store.handover else {
            return;
        };
        if takeover.ignores_handover {
            self.presence.on_takeover(self.now_ms, takeover.registry_ms);
            return;
        }
        let accepted = scheduler.accept_handover(&self.store.records(), term, self.now());
        assert_eq!(accepted, Ok::<(), Refusal>(()), "the handover of {term}");
        self.presence.on_takeover(self.now_ms, takeover.registry_ms);
    }

    /// Ends a worker for good with all of its runs; the registry removes its entry after `listed_ms`.
    pub fn end_worker(&mut self, number: usize, listed_ms: i64) {
        let now_ms = self.now_ms;
        for (task, _) in self.workers[number].running() {
            self.availability.on_lost(task, now_ms);
            self.presence.on_end(task, now_ms);
        }
        let incarnation = self.workers[number].listing.incarnation;
        self.trace("", || {
            let id = &self.workers[number].listing.id;
            format!("{id} ends")
        });
        self.workers[number].restart(now_ms);
        // A worker that has ended keeps its entry for a while, with the incarnation that it had.
        self.workers[number].listing.incarnation = incarnation;
        self.workers[number].is_up = false;
        self.schedule(listed_ms, Event::EntryExpires(number, incarnation));
    }

    /// Ends a worker for good and starts one with another identifier on its instance.
    pub fn replace_worker(&mut self, number: usize) {
        let now_ms = self.now_ms;
        for (task, _) in self.workers[number].running() {
            self.availability.on_lost(task, now_ms);
            self.presence.on_end(task, now_ms);
        }
        let id = self.workers[number].listing.id.clone();
        self.workers[number].replace(now_ms);
        for process in self.owners.iter_mut().filter(|p| p.follows_registry) {
            process.scheduler.deregister_worker(&id);
        }
        self.register(number);
    }

    /// Checks how long long-running tasks have been absent, and queued ones since a takeover.
    pub fn check_presence(&mut self) {
        let now_ms = self.now_ms;
        self.presence.check(now_ms);
    }
}
