//! What the reports of a group come to. Arithmetic alone.
//!
//! Who has seen nothing of a zone has no vote on it. Those that have must be more than half of one mind, and a quarter of the group
//! must be of it ([`quorum`]): so a minority of those that use the zone moves nothing, and fewer than a quarter of the group move
//! nothing whatever the others see.

use crate::{Opinion, Place, Reason, Rules, TOP, ZoneWord};

/// How many of one mind it takes in a group of so many: both of two, else a quarter, two at the least.
pub fn quorum(group: usize) -> usize {
    if group <= 2 { group.max(1) } else { group.div_ceil(4).max(2) }
}

/// Votes on one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Votes {
    /// Members of the group, this one among them.
    pub group: usize,
    pub well: usize,
    pub slow: usize,
    pub silent: usize,
    pub gone: usize,
    /// Members that had an answer in this epoch, and answers of all.
    pub good: usize,
    pub answers: u64,
}

impl Votes {
    pub fn add(&mut self, opinion: Opinion) {
        match opinion {
            Opinion::None => {}
            Opinion::Well => self.well += 1,
            Opinion::Slow => self.slow += 1,
            Opinion::Silent => self.silent += 1,
            Opinion::Gone => self.gone += 1,
        }
    }

    pub fn bad(&self) -> usize {
        self.silent + self.gone
    }

    fn all(&self) -> usize {
        self.well + self.slow + self.bad()
    }

    fn carried(&self, by: usize) -> bool {
        by >= quorum(self.group) && 2 * by > self.all()
    }

    /// Nothing should go there.
    pub fn out(&self) -> bool {
        self.carried(self.bad())
    }

    /// Its workers are gone, whoever looks.
    pub fn dead(&self) -> bool {
        self.carried(self.gone)
    }

    /// It is slow to most, and to half of the group: there is no hurry.
    pub fn slowed(&self) -> bool {
        self.carried(self.slow) && 2 * self.slow >= self.group
    }

    /// It is well to most of those that say anything now; answers of this epoch are counted apart.
    pub fn fine(&self) -> bool {
        2 * self.well >= self.all()
    }

    /// Takes the word of a member of the same group, which stands in the same epoch or another. Danger: a word of an epoch that is
    /// over tells of what was before.
    pub fn hear(&mut self, word: &ZoneWord, own: &Place, rules: Rules) {
        let same = word.epoch == own.epoch || (word.step == TOP && own.step == TOP) || !rules.epochs;
        if same {
            self.add(word.opinion);
        }
        // Two parts of a group that were cut off may have come to one epoch by different steps.
        if (word.epoch, word.step) == (own.epoch, own.step) && word.good > 0 {
            self.good += 1;
            self.answers += u64::from(word.good);
        }
        // Who has left already votes by where it stands; on the way back each step is judged by its own answers.
        if !same && word.epoch > own.epoch && own.step == TOP {
            self.add(match (word.step, word.reason) {
                (0, Reason::Gone) => Opinion::Gone,
                (0, _) => Opinion::Silent,
                (_, Reason::Slow) => Opinion::Slow,
                _ => word.opinion,
            });
        }
    }
}

#[cfg(test)]
mod tests;
