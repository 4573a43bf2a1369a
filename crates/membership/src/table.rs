//! Who is known, and how that is known. Claims are merged here; what follows from one is the machine's.

use crate::Micros;
use crate::wire::{Claim, MARKS, Record, State, Window, digest, mark_of};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How something is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the member itself.
    Direct,
    /// From another.
    Told,
    /// It did not answer this member.
    Probe,
}

/// A member as it is known here.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Where it is heard.
    pub address: SocketAddr,
    /// The process.
    pub instance: u64,
    /// Of the newest claim about it.
    pub incarnation: u64,
    /// What it is held to be.
    pub state: State,
    /// What it tells of itself.
    pub record: Record,
    /// Since when it is held to be that.
    pub since: Micros,
    /// How that is known.
    pub source: Source,
    /// When a packet of its own last came; `None`: never.
    pub heard: Option<Micros>,
    /// When it last answered a probe of this member; `None`: never.
    pub answered: Option<Micros>,
    /// The digest and the load that it last told.
    pub digest: u64,
    /// In thousandths.
    pub load: u16,
    /// Whether it compares tables by marks, as far as is known.
    pub(crate) compares: Compares,
    /// Tells replays.
    pub(crate) window: Window,
    /// While suspect: when it counts as failed, and who suspects it.
    pub(crate) suspicion: Option<Suspicion>,
}

/// Whether a member answers a comparison by marks; the first version of the program did not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Compares {
    /// Not known.
    #[default]
    Untold,
    /// Marks were sent, and none came back yet.
    Asked,
    /// It does.
    Yes,
}

/// A suspicion under way.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Suspicion {
    pub began: Micros,
    pub least: Micros,
    pub most: Micros,
    /// Others that accuse as well.
    pub by: Vec<Arc<str>>,
}

impl Suspicion {
    /// When it ends: the more accuse, the sooner (Lifeguard, 'Dogpile').
    pub fn due(&self, enough: usize) -> Micros {
        let confirmed = self.by.len().saturating_sub(1).min(enough) as f64;
        let part = (confirmed + 1.0).ln() / (enough as f64 + 1.0).ln().max(f64::MIN_POSITIVE);
        let span = self.most.saturating_sub(self.least) as f64;
        self.began + self.most.saturating_sub((span * part.min(1.0)) as Micros)
    }
}

impl Member {
    pub(crate) fn claim(&self) -> Claim {
        Claim {
            name: self.name.clone(),
            address: self.address,
            instance: self.instance,
            incarnation: self.incarnation,
            state: self.state,
            record: self.record.clone(),
        }
    }

    /// Alive or suspect.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }
}

/// What a claim changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing: it is older than what is known, or known.
    None,
    /// A member that was not known.
    New,
    /// Another state, incarnation or record than before: what it was.
    Was(State),
    /// There was no room.
    Full,
}

/// All others that are known.
#[derive(Default)]
pub(crate) struct Table {
    pub members: BTreeMap<Arc<str>, Member>,
    /// Counts what changed of that by which members are counted.
    pub changes: u64,
    digest: u64,
    marks: [u32; MARKS],
    up: usize,
    silent: usize,
}

impl Table {
    /// Takes a claim in, if it is newer than what is known.
    pub fn merge(&mut self, now: Micros, claim: &Claim, source: Source, most: usize) -> Change {
        if let Some(member) = self.members.get(&claim.name) {
            let known = member.claim();
            if !claim.newer(&known) {
                return Change::None;
            }
            self.count(&known, false);
            self.count(claim, true);
            let (was, renewed) = (known.state, known.instance != claim.instance);
            let Some(member) = self.members.get_mut(&claim.name) else { return Change::None };
            if renewed {
                (member.window, member.heard, member.answered) = (Window::default(), None, None);
                member.compares = Compares::default();
            }
            if was != claim.state || renewed {
                (member.since, member.source) = (now, source);
            }
            (member.address, member.instance) = (claim.address, claim.instance);
            (member.incarnation, member.state) = (claim.incarnation, claim.state);
            member.record = claim.record.clone();
            if claim.state != State::Suspect {
                member.suspicion = None;
            }
            return Change::Was(was);
        }
        if self.members.len() >= most && !self.make_room() {
            return Change::Full;
        }
        self.count(claim, true);
        let member = Member {
            name: claim.name.clone(),
            address: claim.address,
            instance: claim.instance,
            incarnation: claim.incarnation,
            state: claim.state,
            record: claim.record.clone(),
            since: now,
            source,
            heard: None,
            answered: None,
            digest: 0,
            load: 0,
            compares: Compares::default(),
            window: Window::default(),
            suspicion: None,
        };
        self.members.insert(claim.name.clone(), member);
        Change::New
    }

    /// Forgets a member.
    pub fn forget(&mut self, name: &str) {
        if let Some(member) = self.members.remove(name) {
            self.count(&member.claim(), false);
        }
    }

    /// Danger: a peer that claims thousands of members would drive out real ones. What was never heard goes first, then
    /// what left or has failed longest; one that answers never does.
    fn make_room(&mut self) -> bool {
        let rank = |m: &&Member| (m.heard.is_some(), m.state != State::Left, m.since);
        let over = self.members.values().filter(|m| m.heard.is_none() || !m.is_up()).min_by_key(rank);
        let name = over.map(|m| m.name.clone());
        name.iter().for_each(|n| self.forget(n));
        name.is_some()
    }

    fn count(&mut self, claim: &Claim, adds: bool) {
        let digest = digest(claim);
        self.digest ^= digest;
        self.marks[mark_of(&claim.name)] ^= digest as u32;
        self.changes += 1;
        let counter = match claim.state {
            State::Alive | State::Suspect => &mut self.up,
            State::Failed => &mut self.silent,
            State::Left => return,
        };
        *counter = if adds { *counter + 1 } else { counter.saturating_sub(1) };
    }

    /// The digest of all, without the member that holds the table.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The same by parts of the table: members whose names share a mark.
    pub fn marks(&self) -> [u32; MARKS] {
        self.marks
    }

    /// Members that are alive or suspect, and that are silent.
    pub fn counts(&self) -> (usize, usize) {
        (self.up, self.silent)
    }
}
