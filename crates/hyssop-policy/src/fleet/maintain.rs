use super::{is_held, Campaign, Decision, Fleet};
use hyssop_model::work::{Condition, Instance};
use hyssop_platform::dialect::Transfer;
use std::collections::BTreeMap;
use std::time::Duration;

/// Instances whose lasting tasks move next are emptied already while those before them move: this
/// many times as many tasks as may be away at a time.
const RELOCATIONS_AHEAD: u32 = 2;

/// Says what the maintenance of an instance costs callers; less goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// 0 switched off, 1 being emptied, 2 at work.
    class: u32,
    /// Tasks that last and would have to move.
    lasting: u32,
    /// The processor at work, in thousandths of a core.
    cpu: u64,
    is_busy: bool,
}

impl Fleet {
    /// Notes that an instance's maintenance for a wave has begun.
    pub fn note_maintained(&mut self, wave: u64, instance: &str) {
        if let Some(campaign) = self.campaigns.get_mut(&wave) {
            campaign.begun.insert(instance.to_owned());
        }
    }

    /// Maintains what is due: instances that are switched off first, then those that are empty,
    /// then those that are emptied for it, where callers wait least.
    ///
    /// The load that this answers: half the fleet is due within the time of two turns of demand.
    /// A pool with waiting tasks keeps its instances until the wave's time is short, but for a few
    /// with lasting tasks: those move one after the other within their budgets, which takes most of
    /// the wave's time.
    pub(super) fn maintain(&self, now: Duration, decision: &mut Decision) {
        for (&number, campaign) in &self.campaigns {
            let mut free = (campaign.cap as usize).saturating_sub(self.down(number, now));
            let due: Vec<&Instance> = campaign
                .due()
                .filter_map(|name| self.instances.get(name))
                .filter(|instance| self.is_up(instance))
                .filter(|instance| !decision.touches(instance))
                .collect();
            let is_urgent = self.is_urgent(due.len(), campaign, now);
            let mut emptying = self.away();
            for instance in &due {
                decision.note_due(instance);
            }
            let mut ranked: Vec<(Cost, &Instance)> = due
                .into_iter()
                .filter_map(|instance| Some((self.cost(instance, now)?, instance)))
                .collect();
            ranked.sort_by(|(a, x), (b, y)| a.cmp(b).then(x.name.cmp(&y.name)));
            let mut relocating: BTreeMap<String, u32> = BTreeMap::new();
            for (cost, instance) in ranked {
                if free == 0 {
                    break;
                }
                let is_spare = self.spare.contains(&instance.pool);
                let away = emptying.entry(instance.pool.clone()).or_insert(0);
                if !is_spare {
                    let size = self.size(&instance.pool) as f64;
                    let most = ((size * self.settings.share).floor() as usize).max(1);
                    let is_crowded = self
                        .demand(&instance.pool, now)
                        .is_none_or(|demand| demand.waiting.cpu > 0);
                    let moving = relocating.entry(instance.pool.clone()).or_insert(0);
                    let is_moving = cost.lasting > 0
                        && *moving < self.movable(&instance.pool, now) * RELOCATIONS_AHEAD;
                    let is_busy = cost.is_busy && !is_moving;
                    if *away >= most || (is_crowded && !is_urgent && is_busy) {
                        continue;
                    }
                    *moving += cost.lasting;
                }
                *away += 1;
                free -= 1;
                decision.empty(instance);
                let is_last = campaign
                    .deadline
                    .is_some_and(|deadline| now + self.settings.last >= deadline);
                let is_ready = self.is_empty(instance, now)
                    || self.is_cleared(instance, now)
                    || (is_last && self.is_expendable(instance, now));
                if is_ready && self.may_change(instance, now) {
                    decision.changes.push(Transfer::Maintain {
                        instance: instance.name.clone(),
                        wave: number,
                    });
                }
            }
        }
    }

    /// Counts the instances that are, or may be, down for a wave.
    ///
    /// What an earlier holder ordered lately may be, though the list does not show it yet.
    fn down(&self, wave: u64, now: Duration) -> usize {
        let Some(campaign) = self.campaigns.get(&wave) else {
            return 0;
        };
        campaign
            .instances
            .iter()
            .filter(|name| {
                let is_ordered = matches!(
                    self.ordered.get(*name),
                    Some((_, Transfer::Maintain { .. }))
                );
                let is_down = self
                    .instances
                    .get(*name)
                    .is_some_and(|instance| instance.condition == Condition::Maintained);
                is_ordered || is_down || is_held(&self.barred, name, now)
            })
            .count()
    }

    /// Counts, for each pool, the instances that are down.
    fn away(&self) -> BTreeMap<String, usize> {
        let mut away = BTreeMap::new();
        for instance in self.instances.values() {
            if !self.is_up(instance) && instance.condition != Condition::Moving {
                *away.entry(instance.pool.clone()).or_insert(0) += 1;
            }
        }
        away
    }

    /// Tells whether the wave's time is short for what is left of it.
    ///
    /// A wave of unknown age is.
    fn is_urgent(&self, left: usize, campaign: &Campaign, now: Duration) -> bool {
        let Some(deadline) = campaign.deadline else {
            return true;
        };
        let rounds = left.div_ceil(campaign.cap.max(1) as usize) as u32;
        let need = self.settings.turn * rounds + self.settings.reserve;
        now + need >= deadline
    }

    /// Returns how many of a pool's lasting tasks may be moved at a time.
    fn movable(&self, pool: &str, now: Duration) -> u32 {
        self.demand(pool, now)
            .map_or(1, |demand| demand.movable.max(1))
    }

    /// Ranks an instance by what its maintenance costs callers; `None` where nothing is known.
    fn cost(&self, instance: &Instance, now: Duration) -> Option<Cost> {
        if self.spare.contains(&instance.pool) || instance.worker.is_none() {
            return Some(Cost::default());
        }
        let load = self.load(instance, now)?;
        Some(Cost {
            // What is being emptied already goes first, so that the choice does not change.
            class: if load.is_vacating { 1 } else { 2 },
            lasting: load.lasting,
            cpu: load.cpu,
            is_busy: load.runs > 0,
        })
    }

    /// Tells whether an instance may be maintained although lasting tasks run on it.
    fn is_cleared(&self, instance: &Instance, now: Duration) -> bool {
        self.load(instance, now).is_some_and(|load| load.is_cleared)
    }

    /// Tells whether what runs on an instance that is being emptied is only delayed by losing it:
    /// its tasks start again elsewhere, and none of them lasts.
    fn is_expendable(&self, instance: &Instance, now: Duration) -> bool {
        self.load(instance, now)
            .is_some_and(|load| load.is_vacating && load.lasting == 0)
    }

    /// Tells whether nothing runs on an instance and nothing new is given to it.
    pub(super) fn is_empty(&self, instance: &Instance, now: Duration) -> bool {
        if self.spare.contains(&instance.pool) || instance.worker.is_none() {
            return true;
        }
        self.load(instance, now)
            .is_some_and(|load| load.is_vacating && load.runs == 0)
    }
}
