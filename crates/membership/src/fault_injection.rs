//! Faults that the mutation check of the testbed injects, one at a time; a trial or a test must
//! detect each. Without the cargo feature `fault-injection` no fault is injected, and the compiler
//! removes every branch on one.

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A suspected member that receives its suspicion does not refute it.
    NeverRefutes,
    /// Of two generations of a member the older one wins, so that a restarted member is mistaken
    /// for its previous process.
    PrefersOlderGeneration,
    /// A vanished member is removed from the share count at once, on either side of a partition.
    CountsOwnPartitionOnly,
    /// Dead members are never announced to, and join addresses only until another member is known.
    NeverContactsDeadMembers,
    /// A member that stalled acts on the timers that expired during the stall.
    IgnoresOwnStall,
    /// An isolated member suspects all other members.
    SuspectsWhileIsolated,
    /// A suspect is confirmed dead without being probed by its watchers, even if datagrams from it
    /// arrive meanwhile.
    SkipsFinalProbe,
    /// Datagrams of other fleets are accepted.
    AcceptsForeignFleets,
    /// A leave is not broadcast.
    LeavesSilently,
    /// Metadata records are broadcast, but neither requested nor sent in rotation, and member lists
    /// are not compared.
    GossipsRecordsOnce,
    /// Member lists are not compared.
    SkipsAntiEntropy,
    /// The shedding level is not reported.
    WithholdsShedLevel,
    /// The shedding level is never lowered.
    NeverLowersShedLevel,
    /// Level reports do not expire.
    AcceptsExpiredReports,
    /// The shedding level rises through all tiers at once.
    ShedsAllTiersAtOnce,
    /// The places of a silent region are dropped at once.
    DropsSilentRegionsImmediately,
    /// The first selected delegates are kept even if they die.
    NeverReplacesDelegates,
    /// Delegates do not exchange the announcements that the other lacks.
    SkipsRegionAntiEntropy,
    /// An older announcement replaces a newer one.
    AcceptsOlderAnnouncements,
    /// The values of an announcement are not validated.
    AcceptsInvalidAnnouncements,
    /// Members neither forward the overview nor compare it.
    WithholdsOverview,
    /// A member that receives the addresses of delegates of its own region does not join them.
    IgnoresReferrals,
}

impl InjectedFault {
    /// All faults, each with the name that selects it in the testbed.
    pub const ALL: [(InjectedFault, &'static str); 22] = [
        (InjectedFault::NeverRefutes, "forgets-refutation"),
        (
            InjectedFault::PrefersOlderGeneration,
            "believes-old-generation",
        ),
        (
            InjectedFault::CountsOwnPartitionOnly,
            "counts-own-side-at-once",
        ),
        (
            InjectedFault::NeverContactsDeadMembers,
            "never-asks-the-dead",
        ),
        (
            InjectedFault::IgnoresOwnStall,
            "trusts-itself-after-a-stall",
        ),
        (
            InjectedFault::SuspectsWhileIsolated,
            "accuses-while-cut-off",
        ),
        (InjectedFault::SkipsFinalProbe, "no-last-question"),
        (InjectedFault::AcceptsForeignFleets, "reads-foreign-fleets"),
        (InjectedFault::LeavesSilently, "leaves-silently"),
        (InjectedFault::GossipsRecordsOnce, "tells-records-once"),
        (InjectedFault::SkipsAntiEntropy, "never-compares"),
        (
            InjectedFault::WithholdsShedLevel,
            "keeps-its-level-to-itself",
        ),
        (
            InjectedFault::NeverLowersShedLevel,
            "never-lowers-its-level",
        ),
        (InjectedFault::AcceptsExpiredReports, "believes-stale-words"),
        (InjectedFault::ShedsAllTiersAtOnce, "sheds-the-dearest-too"),
        (
            InjectedFault::DropsSilentRegionsImmediately,
            "drops-silent-regions-at-once",
        ),
        (
            InjectedFault::NeverReplacesDelegates,
            "never-replaces-delegates",
        ),
        (
            InjectedFault::SkipsRegionAntiEntropy,
            "never-compares-regions",
        ),
        (
            InjectedFault::AcceptsOlderAnnouncements,
            "believes-old-announcements",
        ),
        (
            InjectedFault::AcceptsInvalidAnnouncements,
            "believes-any-figures",
        ),
        (InjectedFault::WithholdsOverview, "keeps-overview-to-itself"),
        (InjectedFault::IgnoresReferrals, "ignores-referrals"),
    ];
}

/// Returns whether this fault is injected into this process; the environment variable
/// `PIPITRUN_PLANTED` selects it by name.
#[cfg(feature = "fault-injection")]
#[must_use]
pub fn is_injected(fault: InjectedFault) -> bool {
    static INJECTED: std::sync::OnceLock<Option<InjectedFault>> = std::sync::OnceLock::new();
    let read_environment = || {
        let name = std::env::var("PIPITRUN_PLANTED").ok()?;
        InjectedFault::ALL
            .into_iter()
            .find(|(_, fault_name)| *fault_name == name)
            .map(|(fault, _)| fault)
    };
    *INJECTED.get_or_init(read_environment) == Some(fault)
}

/// Returns false: without the feature no fault is injected.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
#[must_use]
pub fn is_injected(_: InjectedFault) -> bool {
    false
}
