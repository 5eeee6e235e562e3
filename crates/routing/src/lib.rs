//! Decision engine of a load balancer that spreads keys over caches in front of a slow origin.
//!
//! An [`Engine`] makes the decisions of one balancer. It does no I/O and has no clock: the balancer
//! passes in each [`Event`] with its time and executes the returned [`Action`]s in order. The same
//! settings, seed and events always give the same actions.
//!
//! The engine dispatches events to components that each own their state: the endpoint list,
//! placement, slow start, concurrency limits, outlier detection, hedging, retries, admission and
//! origin protection.
//!
//! # Embedding in a balancer
//!
//! ```
//! use routing::{
//!     Action, AttemptNumber, AttemptOutcome, AttemptResult, CacheStatus, Capabilities, ClassId,
//!     DiscoveryMode, Endpoint, EndpointId, Engine, Event, Idempotency, Key, Nanos, NewRequest,
//!     OriginMode, RequestClass, RequestId, ServiceRules, Settings, SettingsError, UpdateKind,
//! };
//!
//! const MS: Nanos = 1_000_000;
//! let settings = Settings {
//!     classes: vec![RequestClass {
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: 200 * MS,
//!         deadline: 1_000 * MS,
//!         priority_weight: 1.0,
//!         late_value_fraction: 0.0,
//!     }],
//!     tenants: Vec::new(),
//!     over_quota_weight: 0.0,
//!     balancers: 3,
//!     origin: OriginMode::ReadThrough,
//!     discovery: DiscoveryMode::Push,
//!     dynamic_weights: false,
//!     capabilities: Capabilities {
//!         max_attempts: 3,
//!         hedging: true,
//!         cancellation: true,
//!         health_checks: false,
//!         retry_after: false,
//!         max_retry_after: 0,
//!     },
//!     rules: ServiceRules {
//!         final_answer_grace: 20 * MS,
//!         drain_grace: 250 * MS,
//!         slow_start_fraction: 0.2,
//!         slow_start_duration: 10_000 * MS,
//!         overload_factor: 2.5,
//!         overload_window: 3_000 * MS,
//!     },
//!     tick: MS,
//! };
//! let mut engine = Engine::new(settings, 42, 0)?;
//! let mut actions = Vec::new();
//!
//! // Discovery lists four endpoints.
//! let endpoints = (1..=4)
//!     .map(|id| Endpoint { id: EndpointId(id), weight: 1.0, ..Endpoint::default() })
//!     .collect();
//! engine.handle(0, Event::EndpointUpdate { kind: UpdateKind::Full, endpoints }, &mut actions);
//!
//! // A client's read arrives; the balancer executes the returned actions.
//! let read = NewRequest {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     key: Some(Key(7)),
//!     client_timeout: 800 * MS,
//!     estimated_work: None,
//!     is_write: false,
//! };
//! actions.clear();
//! engine.handle(5 * MS, Event::RequestArrived(read), &mut actions);
//! let mut sent_to = None;
//! for action in &actions {
//!     match action {
//!         Action::Send { request, endpoint, .. } => {
//!             assert_eq!(*request, RequestId(1)); // open the connection here
//!             sent_to = Some(*endpoint);
//!         }
//!         Action::SetTimer { .. } => {} // report Event::TimerFired after this time
//!         other => panic!("unexpected action: {other:?}"),
//!     }
//! }
//!
//! // The cache answers; the first answer completes the request.
//! let result = AttemptResult {
//!     request: RequestId(1),
//!     attempt: AttemptNumber(0),
//!     endpoint: sent_to.expect("one attempt was sent"),
//!     outcome: AttemptOutcome::Ok,
//!     latency: 12 * MS,
//!     request_finished: true,
//!     cache_status: Some(CacheStatus::Hit),
//!     load_report: None,
//! };
//! actions.clear();
//! engine.handle(17 * MS, Event::AttemptEnded(result), &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

mod actions;
mod admission;
mod attempt_budget;
mod concurrency_limit;
mod discovery_schedule;
mod endpoints;
mod engine;
mod estimators;
mod events;
mod explanations;
mod fleet_shedding;
mod fleet_size;
mod hedging;
mod idempotency;
mod identifiers;
mod idle_connections;
mod origin_protection;
mod outlier_detection;
mod placement;
mod random;
mod recent_keys;
mod rendezvous;
mod request;
mod request_queue;
mod retry_budget;
mod settings;
mod slow_start;
mod snapshot;
mod timers;
mod traffic;

pub use actions::{Action, DecisionReason, Deferral, Explanation};
pub use admission::{AdmissionCounts, COUNTED_TIERS};
pub use engine::Engine;
pub use events::{
    AttemptOutcome, AttemptResult, CacheStatus, Endpoint, EndpointState, Event, LoadReport,
    NewRequest, SheddingLevel, UpdateKind,
};
pub use fleet_shedding::MAX_SHED_FRACTION;
pub use identifiers::{
    AttemptNumber, ClassId, EndpointId, Key, Nanos, RequestId, TenantId, TimerToken,
};
pub use settings::{
    Capabilities, DeduplicationScope, DiscoveryMode, Idempotency, OriginMode, RequestClass,
    ServiceRules, Settings, SettingsError, Tenant,
};
pub use snapshot::{Snapshot, SnapshotError};
