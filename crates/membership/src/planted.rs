//! Mistakes that the mutation check plants, one at a time: each must be found by a trial or a test. Without the cargo
//! feature `planted` there are none, and the compiler drops every branch on them.

/// A planted mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum InjectedFault {
    /// A suspect that hears of it does not refute.
    ForgetsRefutation,
    /// A restarted member is taken for its older self.
    BelievesOldGeneration,
    /// Who vanishes leaves the count at once, on either side of a split.
    CountsOwnSideAtOnce,
    /// Members believed dead are never asked again, nor are join addresses.
    NeverAsksTheDead,
    /// A member that stood still believes its old timers.
    TrustsItselfAfterAStall,
    /// A member that hears nobody accuses everybody.
    AccusesWhileCutOff,
    /// A suspect is given up without the watchers' question.
    NoLastQuestion,
    /// Datagrams of other fleets are read.
    ReadsForeignFleets,
    /// A leave is not told.
    LeavesSilently,
    /// Records are told while they are news, and neither asked for nor told again.
    TellsRecordsOnce,
    /// Lists are not compared.
    NeverCompares,
    /// The level that load is shed by is not told.
    KeepsItsLevelToItself,
    /// The level never sinks.
    NeverLowersItsLevel,
    /// Another's word of its load counts for ever.
    BelievesStaleWords,
    /// The level rises at once through all tiers.
    ShedsTheDearestToo,
    /// The places of a region that can't be heard are counted out at once.
    DropsSilentRegionsAtOnce,
    /// The delegates of the beginning stay, dead or alive.
    NeverReplacesDelegates,
    /// Delegates don't tell each other what the other lacks.
    NeverComparesRegions,
    /// An older announcement takes the place of a newer one.
    BelievesOldAnnouncements,
    /// The figures of an announcement are not held against their bounds.
    BelievesAnyFigures,
    /// Members don't pass the overview on, nor compare it.
    KeepsOverviewToItself,
    /// Who learns of delegates of its own region does not join them.
    IgnoresReferrals,
}

impl InjectedFault {
    /// Every one, with the name by which a trial plants it.
    pub const ALL: [(InjectedFault, &'static str); 22] = [
        (InjectedFault::ForgetsRefutation, "forgets-refutation"),
        (
            InjectedFault::BelievesOldGeneration,
            "believes-old-generation",
        ),
        (
            InjectedFault::CountsOwnSideAtOnce,
            "counts-own-side-at-once",
        ),
        (InjectedFault::NeverAsksTheDead, "never-asks-the-dead"),
        (
            InjectedFault::TrustsItselfAfterAStall,
            "trusts-itself-after-a-stall",
        ),
        (InjectedFault::AccusesWhileCutOff, "accuses-while-cut-off"),
        (InjectedFault::NoLastQuestion, "no-last-question"),
        (InjectedFault::ReadsForeignFleets, "reads-foreign-fleets"),
        (InjectedFault::LeavesSilently, "leaves-silently"),
        (InjectedFault::TellsRecordsOnce, "tells-records-once"),
        (InjectedFault::NeverCompares, "never-compares"),
        (
            InjectedFault::KeepsItsLevelToItself,
            "keeps-its-level-to-itself",
        ),
        (InjectedFault::NeverLowersItsLevel, "never-lowers-its-level"),
        (InjectedFault::BelievesStaleWords, "believes-stale-words"),
        (InjectedFault::ShedsTheDearestToo, "sheds-the-dearest-too"),
        (
            InjectedFault::DropsSilentRegionsAtOnce,
            "drops-silent-regions-at-once",
        ),
        (
            InjectedFault::NeverReplacesDelegates,
            "never-replaces-delegates",
        ),
        (
            InjectedFault::NeverComparesRegions,
            "never-compares-regions",
        ),
        (
            InjectedFault::BelievesOldAnnouncements,
            "believes-old-announcements",
        ),
        (InjectedFault::BelievesAnyFigures, "believes-any-figures"),
        (
            InjectedFault::KeepsOverviewToItself,
            "keeps-overview-to-itself",
        ),
        (InjectedFault::IgnoresReferrals, "ignores-referrals"),
    ];
}

/// Whether this mistake is planted in this process (`PIPITRUN_PLANTED` names it).
#[cfg(feature = "planted")]
pub fn is_injected(fault: InjectedFault) -> bool {
    static PLANTED: std::sync::OnceLock<Option<InjectedFault>> = std::sync::OnceLock::new();
    let read = || {
        let name = std::env::var("PIPITRUN_PLANTED").ok()?;
        InjectedFault::ALL
            .into_iter()
            .find(|(_, n)| *n == name)
            .map(|(fault, _)| fault)
    };
    *PLANTED.get_or_init(read) == Some(fault)
}

/// No mistake is planted.
#[cfg(not(feature = "planted"))]
#[inline(always)]
pub fn is_injected(_: InjectedFault) -> bool {
    false
}
