//! Setup of the parts of a cluster.

use super::{ClusterPlan, DISCOVERY_PORT, LoopbackNetwork, cache_name};
use crate::error::TestbedError;
use crate::network_emulation::stream_proxy::StreamProxy;
use crate::simulated_services::cache::Cache;
use crate::simulated_services::discovery::{Discovery, EndpointList, ListedHost};
use crate::simulated_services::origin::Origin;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Port of a member's stream proxy for cache 0; those of further caches follow.
const PROXY_PORT: u16 = 7_100;

/// Creates the folder for configuration files.
pub(super) fn make_folder(network: &LoopbackNetwork) -> Result<PathBuf, TestbedError> {
    let name = format!(
        "pipitrun-trial-{}-{}-{}",
        std::process::id(),
        network.a,
        network.b
    );
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(|e| TestbedError::file(&folder, e))?;
    Ok(folder)
}

/// Starts all caches and adds them to the endpoint list.
pub(super) fn start_caches(
    plan: &ClusterPlan,
    network: &LoopbackNetwork,
    list: &EndpointList,
    origin: Option<&Origin>,
) -> Result<Vec<Option<Cache>>, TestbedError> {
    let mut caches = Vec::new();
    for n in 0..plan.caches {
        let cache = Cache::start(
            &cache_name(n),
            network.cache(n),
            plan.cache,
            origin.cloned(),
        );
        caches.push(Some(
            cache.map_err(|e| TestbedError::io("starting a cache", e))?,
        ));
        list.insert(
            &cache_name(n),
            ListedHost {
                health: "in_service",
                born_ms: 0,
            },
        );
    }
    Ok(caches)
}

/// Returns the seed of a member and its proxies.
pub(super) fn member_seed(plan: &ClusterPlan, member: usize) -> u64 {
    plan.seed.wrapping_mul(100_003).wrapping_add(member as u64)
}

/// Returns the address at which a member reaches a cache.
fn proxy_address(network: &LoopbackNetwork, member: usize, cache: usize) -> SocketAddr {
    network.member(member, PROXY_PORT + cache as u16)
}

/// Starts a member's stream proxies, one per cache.
pub(super) fn start_proxies(
    plan: &ClusterPlan,
    network: &LoopbackNetwork,
    member: usize,
) -> Result<Vec<StreamProxy>, TestbedError> {
    let seed = member_seed(plan, member);
    (0..plan.caches)
        .map(|cache| {
            let listen = proxy_address(network, member, cache);
            StreamProxy::start(listen, network.cache(cache), seed + cache as u64)
                .map_err(|e| TestbedError::io("starting a stream proxy", e))
        })
        .collect()
}

/// Starts a member's discovery server, which lists the member's stream proxies as the addresses of
/// the caches.
pub(super) fn start_discovery(
    plan: &ClusterPlan,
    network: &LoopbackNetwork,
    member: usize,
    list: &EndpointList,
) -> Result<Discovery, TestbedError> {
    let addresses: HashMap<String, SocketAddr> = (0..plan.caches)
        .map(|cache| (cache_name(cache), proxy_address(network, member, cache)))
        .collect();
    let dial = move |name: &str| addresses.get(name).copied();
    Discovery::start(network.member(member, DISCOVERY_PORT), list.clone(), dial)
        .map_err(|e| TestbedError::io("starting a discovery server", e))
}

/// Returns a member's `fleet` setting, if the plan enables it.
pub(super) fn fleet_settings(
    plan: &ClusterPlan,
    member: usize,
    bind: SocketAddr,
    advertised: &[SocketAddr],
) -> Option<serde_json::Value> {
    if !plan.fleet_enabled {
        return None;
    }
    let join: Vec<SocketAddr> = advertised.iter().copied().take(plan.join_count).collect();
    let mut fleet = serde_json::json!({
        "name": format!("trial-{}", member % plan.fleets.max(1)),
        "bind": bind,
        "advertise": advertised[member],
        "join": join,
    });
    if let Some(object) = fleet.as_object_mut() {
        object.extend(plan.fleet_keys.clone());
    }
    Some(fleet)
}
