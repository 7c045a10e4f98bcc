use super::{lifecycle, wave, Draft, View};
use crate::assign::Assigner;
use hyssop_model::instance::Cause;

/// Decides for one region what happens to its instances.
#[derive(Debug, Default)]
pub struct Planner {
    assigner: Assigner,
}

impl Planner {
    /// Decides the next changes of the rows.
    pub fn step(&mut self, view: &View, draft: &mut Draft) {
        self.assigner.observe(view);
        draft.busy = self.assigner.busy(view, draft);
        lifecycle::register(draft, view);
        lifecycle::complete_drains(draft, view);
        lifecycle::follow_operators(draft, view);
        lifecycle::follow_platform(draft, view);
        wave::advance(draft, view);
        for change in self.assigner.step(view, draft) {
            draft.drain(&change.instance, Cause::Move, Some(change.to), view.wall_ms);
        }
    }
}
