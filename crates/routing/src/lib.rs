//! The decisions of a sidecar that spreads keys over cache servers before a slow origin.
//!
//! A [`Brain`] decides for one router. It does no I/O and has no clock: the router tells it what happens, with
//! the time, and carries out the [`Action`]s that come back, in order. The same settings, seed and events give
//! the same actions. The interface is [`api`], all decisions are in [`brain`].
//!
//! # Embedding in a router
//!
//! ```
//! use routing::*;
//!
//! const MS: Nanos = 1_000_000;
//! let settings = Settings {
//!     classes: vec![Class {
//!         effect: Effect::Safe,
//!         aim: 200 * MS,
//!         deadline: 1_000 * MS,
//!         worth: 1.0,
//!         late_value: 0.0,
//!     }],
//!     tenants: Vec::new(),
//!     over_share_worth: 0.0,
//!     routers: 3,
//!     origin: Origin::Through,
//!     discovery: Discovery::Pushed,
//!     live_weights: false,
//!     limits: Limits {
//!         max_attempts: 3,
//!         second_copies: true,
//!         cancel: true,
//!         probes: false,
//!         retry_after: false,
//!         max_retry_after: 0,
//!     },
//!     rules: Rules {
//!         answer_slack: 20 * MS,
//!         drain_grace: 250 * MS,
//!         cold_from: 0.2,
//!         warm_after: 10_000 * MS,
//!         overload_factor: 2.5,
//!         tip_after: 3_000 * MS,
//!     },
//!     tick: MS,
//! };
//! let mut brain = Brain::new(settings, 42, 0)?;
//! let mut actions = Vec::new();
//!
//! // What discovery knows.
//! let entries = (1..=4).map(|n| Entry { server: ServerId(n), weight: 1.0, ..Entry::default() }).collect();
//! brain.handle(0, Event::List { scope: ListScope::Whole, entries }, &mut actions);
//!
//! // A client's read arrives; the router carries out what comes back.
//! let read = NewRequest {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     key: Some(Key(7)),
//!     patience: 800 * MS,
//!     work: None,
//!     write: false,
//! };
//! actions.clear();
//! brain.handle(5 * MS, Event::Request(read), &mut actions);
//! let mut sent_to = None;
//! for action in &actions {
//!     match action {
//!         Action::Send { request, server, .. } => {
//!             assert_eq!(*request, RequestId(1)); // open the attempt on the network here
//!             sent_to = Some(*server);
//!         }
//!         Action::Timer { .. } => {} // bring back Event::Timer when it is due
//!         other => panic!("nothing else is due: {other:?}"),
//!     }
//! }
//!
//! // The cache answers; the first answer finishes the request.
//! let end = Ended {
//!     request: RequestId(1),
//!     attempt: AttemptNo(0),
//!     server: sent_to.expect("one attempt was sent"),
//!     outcome: Outcome::Ok,
//!     latency: 12 * MS,
//!     finished: true,
//!     note: Some(CacheNote::Hit),
//!     load: None,
//! };
//! actions.clear();
//! brain.handle(17 * MS, Event::Ended(end), &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

pub mod api;
pub mod brain;
mod state;
mod stats;

pub use api::*;
pub use brain::{Brain, Learnt, SHED_MOST};
