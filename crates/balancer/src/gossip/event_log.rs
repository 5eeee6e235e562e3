//! Log lines of membership events, one line per event.

use membership::{Identity, MemberStatus, MembershipEvent};

/// Writes the log line of an event.
pub(super) fn log_event(event: &MembershipEvent) {
    match event {
        MembershipEvent::StatusChanged {
            name,
            id,
            previous,
            current,
        } => {
            log_status(name, *id, *previous, *current);
        }
        MembershipEvent::ShareCountChanged {
            previous,
            current,
            alive,
        } => {
            log::info!(
                was = *previous, is = *current, alive = *alive;
                "fleet: share count is now {current}"
            );
        }
        MembershipEvent::DuplicateName { name, addresses } => {
            let [first, second] = addresses;
            log::warn!(
                member = name.as_str();
                "fleet: {first} and {second} are both called {name}; both count as members"
            );
        }
        MembershipEvent::Rejoined { generation } => {
            log::warn!(
                generation = *generation;
                "fleet: other members declared this balancer dead; it rejoined"
            );
        }
        MembershipEvent::RegionReachability {
            region,
            reachable,
            alive,
        } => {
            let (level, state) = if *reachable {
                (log::Level::Info, "reachable")
            } else {
                (log::Level::Warn, "unreachable")
            };
            log::log!(
                level, region = region.as_str(), alive = *alive;
                "fleet: region {region} is now {state}"
            );
        }
        MembershipEvent::Stalled => {
            log::warn!("fleet: this process stalled; its suspicion timers restart");
        }
    }
}

fn log_status(name: &str, id: Identity, previous: Option<MemberStatus>, current: MemberStatus) {
    let level = if current == MemberStatus::Dead {
        log::Level::Warn
    } else {
        log::Level::Info
    };
    let previous = previous.map_or("unknown", MemberStatus::name);
    log::log!(
        level, member = name, address:% = id.address, generation = id.generation,
        was = previous, is = current.name();
        "fleet: member {name} is {}", current.name()
    );
}
