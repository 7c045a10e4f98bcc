use super::Settings;
use hyssop_model::prelude::*;
use hyssop_wire::claim::{End, Settle};

/// Is a question that waits for its answer.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub(crate) request: request::Key,
    pub(crate) key: String,
    pub(crate) home: entry::Id,
    give_up_at: Instant,
}

/// Is a settlement that the home has not confirmed.
#[derive(Clone, Debug)]
struct Unsettled {
    home: entry::Id,
    settle: Settle,
    send_at: Instant,
    forget_at: Instant,
}

/// Keeps this entry's questions to other homes, its grants and its settlements.
#[derive(Clone, Debug, Default)]
pub(crate) struct Asker {
    last_id: u64,
    questions: BTreeMap<u64, Question>,
    grants: BTreeMap<request::Key, (u64, String, entry::Id)>,
    unsettled: BTreeMap<u64, Unsettled>,
}

impl Asker {
    /// Names the next question.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Notes a question to a home.
    pub(crate) fn ask(
        &mut self,
        now: Instant,
        id: u64,
        request: request::Key,
        key: &str,
        home: entry::Id,
        settings: &Settings,
    ) {
        let question = Question {
            request,
            key: key.to_owned(),
            home,
            give_up_at: now + settings.ask_timeout,
        };
        self.questions.insert(id, question);
    }

    /// Takes the question that an answer is for; a second answer finds none.
    pub(crate) fn take(&mut self, id: u64, from: entry::Id) -> Option<Question> {
        let is_from_home = self
            .questions
            .get(&id)
            .is_some_and(|question| question.home == from);
        if is_from_home {
            self.questions.remove(&id)
        } else {
            None
        }
    }

    /// Notes that a request was granted.
    pub(crate) fn grant(&mut self, id: u64, request: request::Key, key: &str, home: entry::Id) {
        self.grants.insert(request, (id, key.to_owned(), home));
    }

    /// Tells whether a grant or a settlement bears the id of a question.
    pub(crate) fn knows(&self, id: u64) -> bool {
        self.unsettled.contains_key(&id)
            || self.grants.values().any(|(granted, _, _)| *granted == id)
    }

    /// Takes the grant of a request that ended.
    pub(crate) fn take_grant(&mut self, request: request::Key) -> Option<(u64, String, entry::Id)> {
        self.grants.remove(&request)
    }

    /// Takes the questions that waited too long, and those to homes that are gone.
    pub(crate) fn take_overdue(&mut self, now: Instant) -> Vec<(u64, Question)> {
        let overdue = self
            .questions
            .iter()
            .filter(|(_, question)| question.give_up_at <= now);
        let ids: Vec<u64> = overdue.map(|(id, _)| *id).collect();
        let taken = ids
            .into_iter()
            .filter_map(|id| Some((id, self.questions.remove(&id)?)));
        taken.collect()
    }

    /// Notes a settlement, which is sent until its home confirms it.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        id: u64,
        key: &str,
        home: entry::Id,
        end: End,
        settings: &Settings,
    ) {
        let settle = Settle {
            id,
            key: key.to_owned(),
            end,
        };
        let unsettled = Unsettled {
            home,
            settle,
            send_at: now,
            forget_at: now + settings.retention,
        };
        self.unsettled.insert(id, unsettled);
    }

    /// Takes in the confirmation of a settlement.
    pub(crate) fn confirm(&mut self, id: u64) {
        self.unsettled.remove(&id);
    }

    /// Returns the settlements that are to be sent now, with the entries they go to.
    pub(crate) fn due(
        &mut self,
        now: Instant,
        settings: &Settings,
        successor: impl Fn(entry::Id, &str) -> entry::Id,
    ) -> Vec<(entry::Id, Settle)> {
        self.unsettled
            .retain(|_, unsettled| unsettled.forget_at > now);
        let mut due = Vec::new();
        for unsettled in self.unsettled.values_mut() {
            if unsettled.send_at <= now {
                unsettled.send_at = now + settings.settle_interval;
                due.push((
                    successor(unsettled.home, &unsettled.settle.key),
                    unsettled.settle.clone(),
                ));
            }
        }
        due
    }

    /// Tells whether a question, a grant or a settlement is open.
    pub(crate) fn is_busy(&self) -> bool {
        !(self.questions.is_empty() && self.grants.is_empty() && self.unsettled.is_empty())
    }
}
