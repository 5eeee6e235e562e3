//! Startup: opens the sockets and creates the state that the event loop needs before it can serve
//! clients.

use super::EventLoop;
use super::limits::{ADMIN_DESCRIPTORS, DescriptorBudget};
use super::signals::SignalPipes;
use super::timeouts::REAP_INTERVAL;
use super::turn_meter::TurnMeter;
use crate::attempt_tracker::AttemptTracker;
use crate::config::Config;
use crate::counters::Counters;
use crate::discovery::{DiscoveryClient, EndpointList};
use crate::engine_adapter::EngineAdapter;
use crate::forwarded_ids::ForwardedIds;
use crate::hot_restart::HotRestart;
use crate::lifecycle::{Lifecycle, SocketOwnership};
use crate::listener::admin::{AdminListener, FleetEndpoint};
use crate::listener::resp::RespListener;
use crate::poll::Poll;
use crate::poll::sockets::{InheritError, inherit_listener};
use crate::poll_timestamps::PollTimestamps;
use crate::process_slots::ProcessSlots;
use crate::timers::{Clock, TimerKind, Timers};
use crate::upstream_pool::UpstreamPool;
use crate::watch_backoff::WatchBackoff;
use routing::{DiscoveryMode, Engine, Event, Nanos, SettingsError, TimerToken};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::RawFd;

/// Error that prevents the process from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The poller can't be created.
    #[error("can't create the poller: {0}")]
    Poller(#[source] io::Error),
    /// A signal handler can't be registered.
    #[error("can't register the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The engine rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The client listener can't be opened.
    #[error("can't listen for clients at {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The descriptor in `GW_SOCKET_FD` is not a listening TCP socket.
    #[error(
        "configuration: GW_SOCKET_FD: expected a listening TCP socket, but descriptor {descriptor} \
         {source}"
    )]
    InheritListener {
        /// The descriptor in `GW_SOCKET_FD`.
        descriptor: RawFd,
        /// The reason why it can't be used.
        source: InheritError,
    },
    /// The local address of the inherited listener can't be read.
    #[error("GW_SOCKET_FD: can't read the address of the inherited socket: {0}")]
    InheritedAddress(#[source] io::Error),
    /// The admin listener can't be opened.
    #[error(
        "configuration: management (GW_MANAGEMENT): can't listen at {address}: {source}; expected \
         a free address of this machine"
    )]
    AdminListen {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The gossip socket can't be opened.
    #[error("configuration: fleet.bind: can't open the gossip socket at {address}: {source}")]
    Gossip {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}

impl EventLoop {
    /// Opens all sockets, joins the fleet if one is configured, and loads the stored endpoint list.
    ///
    /// # Errors
    /// If a socket can't be opened, or the engine rejects the settings.
    pub fn new(mut config: Config) -> Result<Self, StartupError> {
        let clock = Clock::start();
        let now = clock.now();
        let poll = Poll::new().map_err(StartupError::Poller)?;
        let stored_list = config.stored_endpoint_list.take();
        let mut event_loop = EventLoop::open(config, clock, poll, now)?;
        event_loop.begin(stored_list, now)?;
        Ok(event_loop)
    }

    fn open(config: Config, clock: Clock, poll: Poll, now: Nanos) -> Result<Self, StartupError> {
        let engine = Engine::new(config.settings.clone(), config.seed, now)?;
        let lifecycle = new_lifecycle(&config);
        let poll_timestamps = PollTimestamps::start(now);
        let admin_descriptors = config.management.map_or(0, |_| ADMIN_DESCRIPTORS);
        let descriptors = DescriptorBudget::new(config.descriptors_max, admin_descriptors);
        let listen_error = |source| StartupError::Listen {
            address: config.listen,
            source,
        };
        let process_slots = take_process_slot(&config, now);
        Ok(EventLoop {
            forwarded_ids: forwarded_ids(&config, process_slots.as_ref()),
            signals: SignalPipes::register(&poll).map_err(StartupError::Signals)?,
            listener: RespListener::listen(
                &poll,
                client_listener(&config)?,
                descriptors.clients,
                lifecycle.policy(now),
                poll_timestamps,
            )
            .map_err(listen_error)?,
            process_slots,
            hot_restart: HotRestart::new(),
            discovery: DiscoveryClient::new(&poll, config.discovery, watch_backoff(&config)),
            upstream_pool: UpstreamPool::new(
                &poll,
                descriptors.upstream,
                config.transport.connect_timeout,
                config.transport.idle_timeout,
            ),
            engine: EngineAdapter::new(engine, config.names.clone()),
            attempt_tracker: AttemptTracker::default(),
            timers: Timers::default(),
            counters: Counters::default(),
            pending_events: Vec::new(),
            poll_timestamps,
            turn_meter: TurnMeter::start(now),
            connected_jobs: VecDeque::new(),
            deferred_requests: VecDeque::new(),
            postponed_turns: 0,
            catch_up_polls_left: 0,
            // Set by `apply_limits`.
            memory_limit: 0,
            open_requests_max: config.transport.max_open_requests,
            admin_listener: admin_listener(&config, &poll)?,
            gossip: None,
            lifecycle,
            clock,
            poll,
            config,
        })
    }

    /// Has the listener share the ids of open requests if hot restart is available.
    fn set_id_locks(&mut self) {
        match self.process_slots.as_ref().map(ProcessSlots::id_locks) {
            Some(Ok(locks)) => self.listener.set_id_locks(locks),
            Some(Err(e)) => log::warn!(
                "the ids of open requests can't be shared through $TMPDIR: {e}; in a hot restart \
                 both processes may serve requests with the same id"
            ),
            None => {}
        }
    }

    /// Sets the first timers, joins the fleet and loads the stored endpoint list, if there is one.
    fn begin(&mut self, stored_list: Option<EndpointList>, now: Nanos) -> Result<(), StartupError> {
        self.apply_limits();
        self.timers.set(now + REAP_INTERVAL, TimerKind::ReapIdle);
        self.set_id_locks();
        self.check_other_process(now);
        self.join_fleet(now)?;
        match stored_list {
            Some(list) => self.load_stored_list(&list),
            // The engine queries discovery when it handles its first event, of whatever kind.
            // Without a stored list that would be a client's request, but the platform sends no
            // clients to a process that is not ready, and this process becomes ready only once it
            // has a list. Therefore a timer event is passed to the engine at the start.
            None => self.pending_events.push(Event::TimerFired(TimerToken(0))),
        }
        if self.discovery.is_pushed() {
            self.start_watch(now);
        }
        Ok(())
    }
}

fn new_lifecycle(config: &Config) -> Lifecycle {
    let socket = match config.socket_fd {
        Some(_) => SocketOwnership::Shared,
        None => SocketOwnership::Exclusive,
    };
    let client_timeouts = config.settings.classes.iter().map(|class| class.deadline);
    Lifecycle::new(socket, client_timeouts.max().unwrap_or_default())
}

/// Returns the backoff between watches; `None` if the engine polls discovery instead.
fn watch_backoff(config: &Config) -> Option<WatchBackoff> {
    let grace = config.settings.rules.drain_grace;
    (config.settings.discovery == DiscoveryMode::Push).then(|| WatchBackoff::new(grace))
}

/// Returns the client listener's socket: the inherited one if there is one, otherwise a new one.
fn client_listener(config: &Config) -> Result<TcpListener, StartupError> {
    let Some(descriptor) = config.socket_fd else {
        return TcpListener::bind(config.listen).map_err(|source| StartupError::Listen {
            address: config.listen,
            source,
        });
    };
    let listener = inherit_listener(descriptor)
        .map_err(|source| StartupError::InheritListener { descriptor, source })?;
    let address = listener
        .local_addr()
        .map_err(StartupError::InheritedAddress)?;
    if address != config.listen {
        log::warn!(
            "GW_SOCKET_FD: using the inherited descriptor {descriptor}, which listens at {address} \
             and not at the configured address {}",
            config.listen
        );
    }
    Ok(listener)
}

/// Opens the slot files of hot restart and takes a slot. Returns `None` if hot restart is not
/// configured or the files can't be opened; the process then serves as if it were the only one of
/// this balancer.
fn take_process_slot(config: &Config, now: Nanos) -> Option<ProcessSlots> {
    config.socket_fd?;
    let directory = config.hot_restart_directory.as_ref()?;
    let process = format!("{}-{now}", std::process::id());
    ProcessSlots::take(directory, process)
        .map_err(|e| {
            log::warn!(
                "hot restart is unavailable: the process slots in $TMPDIR {} can't be opened: {e}",
                directory.display()
            );
        })
        .ok()
}

/// Returns the record of forwarded ids, shared with the other process if hot restart is available.
fn forwarded_ids(config: &Config, slots: Option<&ProcessSlots>) -> ForwardedIds {
    let mut ids = ForwardedIds::default();
    if let (Some(slots), Some(directory)) = (slots, &config.hot_restart_directory)
        && let Err(e) = ids.share(directory, slots.own_slot())
    {
        log::warn!(
            "the ids of forwarded requests can't be shared through $TMPDIR {}: {e}; a request may \
             run twice if its client repeats it at the other process of a hot restart",
            directory.display()
        );
    }
    ids
}

fn admin_listener(config: &Config, poll: &Poll) -> Result<Option<AdminListener>, StartupError> {
    let Some(address) = config.management else {
        return Ok(None);
    };
    let fleet = match config.fleet {
        Some(_) => FleetEndpoint::Present,
        None => FleetEndpoint::Absent,
    };
    AdminListener::listen(poll, address, fleet)
        .map(Some)
        .map_err(|source| StartupError::AdminListen { address, source })
}
