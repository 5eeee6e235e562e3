//! Cluster of real processes of the built program, with simulated services and emulated networks.
//! Everything stops when the [`Cluster`] is dropped, also on a panic.

mod loopback_network;
mod setup;

pub(crate) use loopback_network::LoopbackNetwork;

use crate::error::TestbedError;
use crate::member_process::{MemberProcess, MemberSpec, MemberView};
use crate::network_emulation::datagram_proxy::DatagramProxy;
use crate::network_emulation::faults::{Link, LinkFaults};
use crate::network_emulation::stream_proxy::StreamProxy;
use crate::process;
use crate::scenario::Scenario;
use crate::simulated_services::cache::{Cache, CacheCounts, CacheOptions};
use crate::simulated_services::clients::{ClientOptions, Clients, RequestRate};
use crate::simulated_services::discovery::{Discovery, EndpointList, ListedHost};
use crate::simulated_services::origin::{Origin, OriginOptions};
use setup::{
    fleet_settings, make_folder, member_seed, start_caches, start_discovery, start_proxies,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Maximum number of instances, limited by the addresses of a loopback network.
pub const INSTANCES_MAX: usize = 120;
/// Maximum number of caches, limited by the addresses of a loopback network.
pub const CACHES_MAX: usize = 40;
/// Port of each member's discovery server.
const DISCOVERY_PORT: u16 = 8_500;

/// Size and settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Number of balancer processes.
    pub instances: usize,
    /// Number of tile caches.
    pub caches: usize,
    /// Options of the caches at the start of the cluster.
    pub cache: CacheOptions,
    /// Options of a cache that is started again later.
    pub cold_cache: CacheOptions,
    /// Options of the origin behind the caches, if there is one.
    pub origin: Option<OriginOptions>,
    /// Behaviour of the clients.
    pub clients: ClientOptions,
    /// Highest request rate of the timeline, per second; determines the number of clients.
    pub max_request_rate: f64,
    /// Whether the members are configured with a `fleet` setting.
    pub fleet_enabled: bool,
    /// Number of members that are join addresses.
    pub join_count: usize,
    /// Number of fleets; members are assigned to them in turn.
    pub fleets: usize,
    /// Initial request rate of all clients together, per second; 0 for no clients.
    pub request_rate: f64,
    /// Seed of clients, proxies and members.
    pub seed: u64,
    /// Path of the program; `None` uses the one in the build folder of this executable.
    pub program: Option<PathBuf>,
    /// Further entries of the members' `fleet` setting.
    pub fleet_keys: serde_json::Map<String, serde_json::Value>,
    /// Fault injected into each process; requires a program built with the feature
    /// `fault-injection`.
    pub injected_fault: Option<String>,
    /// Folder for the members' log lines, if they are to be written.
    pub log_dir: Option<PathBuf>,
}

impl ClusterPlan {
    /// Returns the plan of a scenario's cluster.
    pub fn from_scenario(scenario: &Scenario) -> Self {
        ClusterPlan {
            instances: scenario.instances,
            caches: scenario.caches,
            request_rate: scenario.rate,
            fleets: scenario.fleets,
            fleet_keys: scenario.fleet.clone(),
            cache: scenario.cache.options(false),
            cold_cache: scenario.cache.options(true),
            origin: scenario.origin.map(|origin| origin.options()),
            clients: scenario.clients,
            max_request_rate: scenario
                .steps
                .iter()
                .filter_map(|step| step.rate)
                .fold(0.0, f64::max),
            ..ClusterPlan::default()
        }
    }
}

impl Default for ClusterPlan {
    fn default() -> Self {
        ClusterPlan {
            instances: 6,
            caches: 4,
            cache: CacheOptions::default(),
            cold_cache: CacheOptions::default(),
            origin: None,
            clients: ClientOptions::default(),
            max_request_rate: 0.0,
            fleet_enabled: true,
            join_count: 3,
            fleets: 1,
            request_rate: 0.0,
            seed: 1,
            program: None,
            fleet_keys: serde_json::Map::new(),
            injected_fault: None,
            log_dir: None,
        }
    }
}

/// Running cluster. Dropping it stops all processes and services.
pub struct Cluster {
    /// Plan that the cluster was created from.
    pub plan: ClusterPlan,
    /// Creation time; recorded times are relative to it.
    pub created: Instant,
    /// Balancer processes, by member index.
    pub members: Vec<MemberProcess>,
    /// Caches by index; `None` while a cache is down.
    pub caches: Vec<Option<Cache>>,
    /// Endpoint list that discovery serves to all members.
    pub endpoint_list: EndpointList,
    /// Origin behind the caches, if there is one.
    pub origin: Option<Origin>,
    /// Current request rate of all clients together.
    pub request_rate: RequestRate,
    /// Sum of the counts of caches that were stopped.
    stopped_cache_counts: CacheCounts,
    clients: Option<Clients>,
    datagram_proxy: DatagramProxy,
    /// Proxies between members and caches, as `stream_proxies[member][cache]`.
    stream_proxies: Vec<Vec<StreamProxy>>,
    _discovery: Vec<Discovery>,
    network: LoopbackNetwork,
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Clients stop first, so that they do not observe the shutdown of the members.
        self.clients = None;
        self.members.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn add_counts(sum: &mut CacheCounts, counts: CacheCounts) {
    sum.attempts += counts.attempts;
    sum.rejected += counts.rejected;
    sum.health_checks += counts.health_checks;
    sum.connections += counts.connections;
    sum.hits += counts.hits;
    sum.misses += counts.misses;
}

fn cache_name(n: usize) -> String {
    format!("c-{n}")
}

impl Cluster {
    /// Starts the services and proxies of a cluster; the balancers are not started yet.
    ///
    /// # Errors
    ///
    /// Fails if the plan exceeds [`INSTANCES_MAX`] or [`CACHES_MAX`], or if a socket can't be
    /// opened.
    pub fn create(plan: ClusterPlan) -> Result<Self, TestbedError> {
        if !(1..=INSTANCES_MAX).contains(&plan.instances)
            || !(1..=CACHES_MAX).contains(&plan.caches)
        {
            return Err(TestbedError::ClusterSize {
                max_instances: INSTANCES_MAX,
                max_caches: CACHES_MAX,
            });
        }
        let program = process::find_program(plan.program.as_deref())?;
        let network = LoopbackNetwork::reserve()
            .map_err(|e| TestbedError::io("reserving a loopback network", e))?;
        let folder = make_folder(&network)?;
        let n = plan.instances;
        let advertised: Vec<SocketAddr> = (0..n).map(|i| network.member(i, 7_947)).collect();
        let bound: Vec<SocketAddr> = (0..n).map(|i| network.member(i, 7_946)).collect();
        let datagram_proxy = DatagramProxy::start(&advertised, &bound, plan.seed)
            .map_err(|e| TestbedError::io("starting the datagram proxy", e))?;
        let origin = plan.origin.map(Origin::new);
        let endpoint_list = EndpointList::default();
        let caches = start_caches(&plan, &network, &endpoint_list, origin.as_ref())?;
        let (mut stream_proxies, mut discovery, mut members) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..n {
            let proxies = start_proxies(&plan, &network, i)?;
            discovery.push(start_discovery(&plan, &network, i, &endpoint_list)?);
            stream_proxies.push(proxies);
            members.push(MemberProcess::new(MemberSpec {
                name: format!("n{i}"),
                program: program.clone(),
                folder: folder.clone(),
                listen: network.member(i, 6_379),
                admin: network.member(i, 9_000),
                discovery: network.member(i, DISCOVERY_PORT),
                fleet: fleet_settings(&plan, i, bound[i], &advertised),
                advertised: advertised[i],
                group_size: n,
                seed: member_seed(&plan, i),
                injected_fault: plan.injected_fault.clone(),
            }));
        }
        Ok(Cluster {
            plan,
            created: Instant::now(),
            members,
            caches,
            endpoint_list,
            origin,
            request_rate: RequestRate::default(),
            stopped_cache_counts: CacheCounts::default(),
            clients: None,
            datagram_proxy,
            stream_proxies,
            _discovery: discovery,
            network,
            folder,
        })
    }

    /// Starts all balancer processes.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started.
    pub fn start_all(&mut self) -> Result<(), TestbedError> {
        self.members.iter_mut().try_for_each(MemberProcess::start)
    }

    /// Starts the clients, if the plan has any.
    pub fn start_clients(&mut self) {
        if self.plan.request_rate > 0.0 && self.clients.is_none() {
            let addresses: Vec<SocketAddr> = (0..self.plan.instances)
                .map(|i| self.network.member(i, 6_379))
                .collect();
            // Each worker has at most one outstanding request. One worker for each request per
            // second is more than even the class with the longest deadline keeps outstanding.
            let workers = (self
                .plan
                .request_rate
                .max(self.plan.max_request_rate)
                .ceil() as usize)
                .clamp(8, 1_000);
            self.request_rate.set(self.plan.request_rate);
            let (seed, options) = (self.plan.seed, self.plan.clients);
            self.clients = Some(Clients::start(
                &addresses,
                workers,
                &self.request_rate,
                options,
                seed,
                self.created,
            ));
        }
    }

    /// Stops the clients and returns the records of all requests.
    pub fn stop_clients(&mut self) -> Vec<crate::simulated_services::clients::ClientRequest> {
        self.clients.take().map(Clients::stop).unwrap_or_default()
    }

    /// Returns the datagram link from one member to another.
    #[must_use]
    pub fn link(&self, from: usize, to: usize) -> &Link {
        self.datagram_proxy.link(from, to)
    }

    /// Returns the stream links from a member to a cache and back.
    #[must_use]
    pub fn cache_links(&self, member: usize, cache: usize) -> [&Link; 2] {
        let proxy = &self.stream_proxies[member][cache];
        [&proxy.to_target, &proxy.from_target]
    }

    /// Returns the numbers of datagrams that the proxy forwarded, and dropped because of faults.
    #[must_use]
    pub fn datagrams(&self) -> (u64, u64) {
        self.datagram_proxy.counts()
    }

    /// Sets the faults of all links between two sets of members, in one direction.
    pub fn set_links(&self, from: &[usize], to: &[usize], faults: LinkFaults) {
        for i in from {
            for j in to.iter().filter(|j| *j != i) {
                self.link(*i, *j).set(faults);
            }
        }
    }

    /// Stops a cache. It stays in the endpoint list until [`Cluster::unlist_cache`], because
    /// discovery in production also reports a death with a delay.
    pub fn kill_cache(&mut self, n: usize) {
        if let Some(cache) = self.caches[n].take() {
            add_counts(&mut self.stopped_cache_counts, cache.counts());
        }
    }

    /// Removes a cache from the endpoint list.
    pub fn unlist_cache(&self, n: usize) {
        self.endpoint_list.remove(&cache_name(n));
    }

    /// Starts a cache again, cold and empty. It is not in the endpoint list until
    /// [`Cluster::list_cache`].
    ///
    /// # Errors
    ///
    /// Fails if the address of the cache can't be bound.
    pub fn start_cache(&mut self, n: usize) -> Result<(), TestbedError> {
        let cache = Cache::start(
            &cache_name(n),
            self.network.cache(n),
            self.plan.cold_cache,
            self.origin.clone(),
        );
        self.caches[n] = Some(cache.map_err(|e| TestbedError::io("starting a cache", e))?);
        Ok(())
    }

    /// Adds a cache to the endpoint list. `born_ms` is the time of its start, in Unix milliseconds.
    pub fn list_cache(&self, n: usize, born_ms: u64) {
        self.endpoint_list.insert(
            &cache_name(n),
            ListedHost {
                health: "in_service",
                born_ms,
            },
        );
    }

    /// Returns the sum of the counts of all caches, including stopped ones.
    #[must_use]
    pub fn cache_counts(&self) -> CacheCounts {
        let mut sum = self.stopped_cache_counts;
        self.caches
            .iter()
            .flatten()
            .for_each(|cache| add_counts(&mut sum, cache.counts()));
        sum
    }

    /// Returns the members' counters, summed over all their processes, and requests new ones:
    /// counters printed in response to this call are included in the result of the next call.
    #[must_use]
    pub fn member_counts(&self) -> std::collections::BTreeMap<String, u64> {
        let mut sum = std::collections::BTreeMap::new();
        for member in &self.members {
            member.request_counters();
            for (name, count) in member.counters() {
                *sum.entry(name).or_insert(0) += count;
            }
        }
        sum
    }

    /// Returns the view of each member; `None` for members that do not answer.
    #[must_use]
    pub fn views(&self) -> Vec<Option<MemberView>> {
        // Read in parallel: in a large cluster the first views would be outdated by the time the
        // last ones are read in sequence.
        std::thread::scope(|scope| {
            let readers: Vec<_> = self
                .members
                .iter()
                .map(|member| scope.spawn(|| member.view()))
                .collect();
            readers
                .into_iter()
                .map(|reader| reader.join().unwrap_or_default())
                .collect()
        })
    }

    /// Waits until `condition` holds; returns the time it took, or `None` after `timeout`.
    pub fn wait_until(
        &self,
        timeout: Duration,
        mut condition: impl FnMut(&Cluster) -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            if condition(self) {
                return Some(start.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}
