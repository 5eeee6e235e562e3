//! Faults that the testbed's mutation check injects, one at a time: a trial or a test must detect
//! each. Without the cargo feature `fault-injection` there are none, and the compiler drops every
//! branch on them.

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A suspect that learns of its suspicion does not refute it.
    NeverRefutes,
    /// A restarted member is taken for its former process.
    PrefersOlderGeneration,
    /// A vanished member leaves the share count at once, on either side of a partition.
    CountsOwnPartitionOnly,
    /// Neither dead members nor join addresses are announced to again.
    NeverContactsDeadMembers,
    /// A member that stalled trusts its expired timers.
    IgnoresOwnStall,
    /// A member that hears nobody suspects everybody.
    SuspectsWhileIsolated,
    /// A suspect is confirmed dead without a probe by its watchers.
    SkipsFinalProbe,
    /// Datagrams of other fleets are read.
    AcceptsForeignFleets,
    /// A leave is not broadcast.
    LeavesSilently,
    /// Metadata records are broadcast, but neither requested nor repeated.
    GossipsRecordsOnce,
    /// Member lists are not compared.
    SkipsAntiEntropy,
    /// The shedding level is not reported.
    WithholdsShedLevel,
    /// The shedding level never falls.
    NeverLowersShedLevel,
    /// Level reports never expire.
    AcceptsExpiredReports,
    /// The shedding level rises through all tiers at once.
    ShedsAllTiersAtOnce,
    /// The places of a silent region are dropped at once.
    DropsSilentRegionsImmediately,
    /// The first delegates stay, dead or alive.
    NeverReplacesDelegates,
    /// Delegates do not exchange what the other lacks.
    SkipsRegionAntiEntropy,
    /// An older announcement replaces a newer one.
    AcceptsOlderAnnouncements,
    /// The figures of an announcement are not validated.
    AcceptsInvalidAnnouncements,
    /// Members neither pass the overview on nor compare it.
    WithholdsOverview,
    /// A member that learns of delegates of its own region does not join them.
    IgnoresReferrals,
}

impl InjectedFault {
    /// All faults, each with the name by which the testbed injects it.
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

/// Whether this fault is injected into this process; `PIPITRUN_PLANTED` names it.
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

/// No fault is injected.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
#[must_use]
pub fn is_injected(_: InjectedFault) -> bool {
    false
}
