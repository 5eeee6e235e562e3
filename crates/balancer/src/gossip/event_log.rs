//! Log lines of membership events, one for each.

use membership::{Identity, MemberStatus, MembershipEvent};

/// Logs an event.
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
                "fleet: shares are divided by {current}"
            );
        }
        MembershipEvent::DuplicateName { name, addresses } => {
            let [first, second] = addresses;
            log::warn!(
                member = name.as_str();
                "fleet: {first} and {second} are both called {name}; both count"
            );
        }
        MembershipEvent::Rejoined { generation } => {
            log::warn!(generation = *generation; "fleet: declared dead by others; rejoined");
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
                "fleet: region {region} is {state}"
            );
        }
        MembershipEvent::Stalled => {
            log::warn!("fleet: this process stalled; its suspicions start over");
        }
    }
}

fn log_status(name: &str, id: Identity, was: Option<MemberStatus>, is: MemberStatus) {
    let level = if is == MemberStatus::Dead {
        log::Level::Warn
    } else {
        log::Level::Info
    };
    let was = was.map_or("unknown", MemberStatus::name);
    log::log!(
        level, member = name, address:% = id.address, generation = id.generation,
        was = was, is = is.name();
        "fleet: {name} is {}", is.name()
    );
}
