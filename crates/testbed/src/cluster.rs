//! A cluster: real processes of the built program with simulated services round them and emulated
//! networks between them. All of it ends with the [`Cluster`], also in a panic.

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
use setup::{fleet_key, make_folder, member_seed, start_caches, start_discovery, start_proxies};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The most instances and caches: one loopback network has room for so many.
pub const INSTANCES_MAX: usize = 120;
/// See [`INSTANCES_MAX`].
pub const CACHES_MAX: usize = 40;
/// Where a member finds discovery.
const DISCOVERY_PORT: u16 = 8_500;

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Processes of the program.
    pub instances: usize,
    /// Tile caches.
    pub caches: usize,
    /// How the caches work.
    pub cache: CacheOptions,
    /// How a cache works that has just started.
    pub cold: CacheOptions,
    /// The origin behind the caches, if there is one.
    pub origin: Option<OriginOptions>,
    /// How clients behave.
    pub clients: ClientOptions,
    /// The most requests a second that the timeline asks for; so many clients are there.
    pub rate_most: f64,
    /// The key `fleet` is set.
    pub fleet_enabled: bool,
    /// How many members are join addresses.
    pub joins: usize,
    /// Members are of so many fleets, in turn.
    pub fleets: usize,
    /// Requests a second over all; 0 for no clients.
    pub rate: f64,
    /// For all that is drawn.
    pub seed: u64,
    /// The program; else it is looked for beside this one.
    pub program: Option<PathBuf>,
    /// Further keys of `fleet`, as JSON.
    pub fleet_keys: serde_json::Map<String, serde_json::Value>,
    /// A fault that is injected into each process, where the program was built for it.
    pub injected_fault: Option<String>,
    /// Where the members' log lines are written, in the order in which they came.
    pub log_dir: Option<PathBuf>,
}

impl ClusterPlan {
    /// The cluster of a scenario.
    pub fn from_scenario(scenario: &Scenario) -> Self {
        ClusterPlan {
            instances: scenario.instances,
            caches: scenario.caches,
            rate: scenario.rate,
            fleets: scenario.fleets,
            fleet_keys: scenario.fleet.clone(),
            cache: scenario.cache.options(false),
            cold: scenario.cache.options(true),
            origin: scenario.origin.map(|origin| origin.options()),
            clients: scenario.clients,
            rate_most: scenario
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
            cold: CacheOptions::default(),
            origin: None,
            clients: ClientOptions::default(),
            rate_most: 0.0,
            fleet_enabled: true,
            joins: 3,
            fleets: 1,
            rate: 0.0,
            seed: 1,
            program: None,
            fleet_keys: serde_json::Map::new(),
            injected_fault: None,
            log_dir: None,
        }
    }
}

/// A cluster; all of it ends when it is dropped.
pub struct Cluster {
    /// What was put on it.
    pub plan: ClusterPlan,
    /// When it was laid out.
    pub begun: Instant,
    /// The processes.
    pub members: Vec<MemberProcess>,
    /// The caches; `None` while one is down.
    pub caches: Vec<Option<Cache>>,
    /// The list that discovery serves.
    pub endpoint_list: EndpointList,
    /// The origin, if there is one.
    pub origin: Option<Origin>,
    /// Requests a second of all clients.
    pub request_rate: RequestRate,
    /// What came to caches that have died since.
    counts_of_ended_caches: CacheCounts,
    clients: Option<Clients>,
    datagram_proxy: DatagramProxy,
    /// `relays[member][cache]`.
    stream_proxies: Vec<Vec<StreamProxy>>,
    _discovery: Vec<Discovery>,
    network: LoopbackNetwork,
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Clients first: what breaks from here on is no finding.
        self.clients = None;
        self.members.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn add(sum: &mut CacheCounts, more: CacheCounts) {
    sum.attempts += more.attempts;
    sum.rejected += more.rejected;
    sum.health_checks += more.health_checks;
    sum.connections += more.connections;
    sum.hits += more.hits;
    sum.misses += more.misses;
}

fn cache_name(n: usize) -> String {
    format!("c-{n}")
}

impl Cluster {
    /// Lays it out; no process runs yet.
    ///
    /// # Errors
    ///
    /// If the plan has no room on the loopback network, or a socket can't be opened.
    pub fn lay_out(plan: ClusterPlan) -> Result<Self, TestbedError> {
        if !(1..=INSTANCES_MAX).contains(&plan.instances)
            || !(1..=CACHES_MAX).contains(&plan.caches)
        {
            return Err(TestbedError::ClusterSize {
                max_instances: INSTANCES_MAX,
                max_caches: CACHES_MAX,
            });
        }
        let program = process::find_program(plan.program.as_deref())?;
        let network =
            LoopbackNetwork::reserve().map_err(|e| TestbedError::io("a loopback network", e))?;
        let folder = make_folder(&network)?;
        let n = plan.instances;
        let advertised: Vec<SocketAddr> = (0..n).map(|i| network.member(i, 7_947)).collect();
        let own: Vec<SocketAddr> = (0..n).map(|i| network.member(i, 7_946)).collect();
        let datagram_proxy = DatagramProxy::start(&advertised, &own, plan.seed)
            .map_err(|e| TestbedError::io("datagram proxy", e))?;
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
                fleet: fleet_key(&plan, i, own[i], &advertised),
                advertised: advertised[i],
                group_size: n,
                seed: member_seed(&plan, i),
                injected_fault: plan.injected_fault.clone(),
            }));
        }
        Ok(Cluster {
            plan,
            begun: Instant::now(),
            members,
            caches,
            endpoint_list,
            origin,
            request_rate: RequestRate::default(),
            counts_of_ended_caches: CacheCounts::default(),
            clients: None,
            datagram_proxy,
            stream_proxies,
            _discovery: discovery,
            network,
            folder,
        })
    }

    /// Starts all processes at once.
    ///
    /// # Errors
    ///
    /// If the plan has no room on the loopback network, or a socket or process can't be started.
    pub fn start_all(&mut self) -> Result<(), TestbedError> {
        self.members.iter_mut().try_for_each(MemberProcess::start)
    }

    /// Starts the clients, if the plan has any.
    pub fn start_clients(&mut self) {
        if self.plan.rate > 0.0 && self.clients.is_none() {
            let addresses: Vec<SocketAddr> = (0..self.plan.instances)
                .map(|i| self.network.member(i, 6_379))
                .collect();
            // More at a time than the slowest class keeps out; each has one request out.
            let workers = (self.plan.rate.max(self.plan.rate_most).ceil() as usize).clamp(8, 1_000);
            self.request_rate.set(self.plan.rate);
            let (seed, behaviour) = (self.plan.seed, self.plan.clients);
            self.clients = Some(Clients::start(
                &addresses,
                workers,
                &self.request_rate,
                behaviour,
                seed,
                self.begun,
            ));
        }
    }

    /// Stops the clients and returns all requests.
    pub fn stop_clients(&mut self) -> Vec<crate::simulated_services::clients::ClientRequest> {
        self.clients.take().map(Clients::stop).unwrap_or_default()
    }

    /// The link for datagrams from one member to another.
    #[must_use]
    pub fn link(&self, from: usize, to: usize) -> &Link {
        self.datagram_proxy.link(from, to)
    }

    /// The links between a member and a cache, there and back.
    #[must_use]
    pub fn cache_links(&self, member: usize, cache: usize) -> [&Link; 2] {
        let relay = &self.stream_proxies[member][cache];
        [&relay.to_target, &relay.from_target]
    }

    /// Datagrams that the switch passed on, and those lost by faults.
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

    /// Ends a cache, and takes it from nobody's list: that comes later, as it does in service.
    pub fn kill_cache(&mut self, n: usize) {
        if let Some(cache) = self.caches[n].take() {
            add(&mut self.counts_of_ended_caches, cache.counts());
        }
    }

    /// Takes a cache from the list.
    pub fn unlist_cache(&self, n: usize) {
        self.endpoint_list.remove(&cache_name(n));
    }

    /// Starts a cache again, cold and holding nothing; the list says so later.
    ///
    /// # Errors
    ///
    /// If the plan has no room on the loopback network, or a socket or process can't be started.
    pub fn start_cache(&mut self, n: usize) -> Result<(), TestbedError> {
        let cache = Cache::start(
            &cache_name(n),
            self.network.cache(n),
            self.plan.cold,
            self.origin.clone(),
        );
        self.caches[n] = Some(cache.map_err(|e| TestbedError::io("cache", e))?);
        Ok(())
    }

    /// Puts a cache on the list.
    pub fn list_cache(&self, n: usize, born_ms: u64) {
        self.endpoint_list.insert(
            &cache_name(n),
            ListedHost {
                health: "in_service",
                born_ms,
            },
        );
    }

    /// What came to all caches, those that have died included.
    #[must_use]
    pub fn cache_counts(&self) -> CacheCounts {
        let mut sum = self.counts_of_ended_caches;
        self.caches
            .iter()
            .flatten()
            .for_each(|cache| add(&mut sum, cache.counts()));
        sum
    }

    /// The members' counters, summed over all their processes. Those that print now are read by the
    /// next call.
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

    /// What each member sees, of those that answer; `None` of the others.
    #[must_use]
    pub fn views(&self) -> Vec<Option<MemberView>> {
        // Side by side: one after the other takes long enough among many for the first to be out of
        // date.
        std::thread::scope(|scope| {
            let asked: Vec<_> = self
                .members
                .iter()
                .map(|member| scope.spawn(|| member.view()))
                .collect();
            asked
                .into_iter()
                .map(|one| one.join().unwrap_or_default())
                .collect()
        })
    }

    /// Waits until this holds, at most for so long; how long it took.
    pub fn wait(
        &self,
        most: Duration,
        mut holds: impl FnMut(&Cluster) -> bool,
    ) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < most {
            if holds(self) {
                return Some(begun.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}
