//! Emphasis of the plans of a soak. Five consecutive seeds have all of them, so that each kind of
//! fault is played in any five seeds.

use super::load::{Load, LoadKind};
use super::plan::SoakEvent;
use super::records::{MS, Nanos};
use rand::{Rng, RngExt};

/// Emphasis of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Theme {
    /// Caches that read large writes slowly.
    SlowCaches,
    /// Clients that send heads of nearly a thousand fields.
    ManyFields,
    /// Clients that send at full speed.
    Floods,
    /// New processes of caches at the addresses of the former ones.
    RestartedCaches,
    /// Hundreds of clients that read nothing, and no other faults.
    Crowd,
}

/// Time of the first event of a theme.
const START: Nanos = 1_000 * MS;
/// Time for which the loads of a theme stay.
const LOAD_SPAN: Nanos = 2_500 * MS;

impl Theme {
    /// Returns the theme of a seed.
    #[must_use]
    pub fn of_seed(seed: u64) -> Self {
        match seed % 5 {
            0 => Theme::SlowCaches,
            1 => Theme::ManyFields,
            2 => Theme::Floods,
            3 => Theme::RestartedCaches,
            _ => Theme::Crowd,
        }
    }

    /// Returns whether the theme has loads beside the usual clients.
    #[must_use]
    pub fn has_loads(self) -> bool {
        matches!(self, Theme::ManyFields | Theme::Floods | Theme::Crowd)
    }

    /// Returns the numbers of caches from which that of a plan is chosen. Loads need few caches, as
    /// long lists take memory of their own; each of few caches gets more requests.
    #[must_use]
    pub fn cache_counts(self, short: bool) -> &'static [usize] {
        match (self, short) {
            (Theme::RestartedCaches, _) => &[10, 20],
            (Theme::ManyFields | Theme::Floods | Theme::Crowd, _) => &[10, 60, 400],
            (Theme::SlowCaches, true) => &[10, 60, 3_200],
            (Theme::SlowCaches, false) => &[40, 800, 1_300, 3_200],
        }
    }

    /// Returns the ratios of large writes from which that of a plan is chosen.
    #[must_use]
    pub fn large_writes(self) -> &'static [f64] {
        match self {
            Theme::SlowCaches => &[0.7],
            _ => &[0.0, 0.2],
        }
    }

    /// Generates the events of the theme.
    pub fn events(self, rng: &mut impl Rng, balancers: usize) -> Vec<(Nanos, SoakEvent)> {
        let all_caches = usize::MAX;
        let mut load = |kind, connections, span| {
            let load = Load {
                kind,
                connections,
                span,
            };
            SoakEvent::Load(rng.random_range(0..balancers), load)
        };
        let second = 1_000 * MS;
        match self {
            Theme::SlowCaches => vec![
                (START, SoakEvent::SlowReading(all_caches, 2 * second)),
                (5 * second, SoakEvent::SlowReading(all_caches, 2 * second)),
            ],
            Theme::ManyFields => [START, 3 * second, 5 * second]
                .map(|at| (at, load(LoadKind::ManyFields, 400, LOAD_SPAN)))
                .into(),
            Theme::Floods => vec![
                (START, load(LoadKind::UnknownCommands, 5, LOAD_SPAN)),
                (3 * second, load(LoadKind::NewNames, 5, LOAD_SPAN)),
                (5 * second, load(LoadKind::Malformed, 20, LOAD_SPAN)),
            ],
            Theme::RestartedCaches => (1..4)
                .map(|number| (2 * number * second, SoakEvent::Restarted(all_caches)))
                .collect(),
            Theme::Crowd => {
                // The first crowd needs more connections to caches than there are, the second one
                // more client connections.
                let readers = load(LoadKind::UnreadLongValues, 200, 3 * second);
                let half_written = load(LoadKind::HalfWritten, 500, second);
                vec![
                    (START, readers),
                    (START + 3 * second, half_written),
                    (6 * second, SoakEvent::Restart(0)),
                ]
            }
        }
    }
}
