//! The instances that the simulator has enlisted, each with its own engine.

use crate::wire::{Arrival, ArrivalError, Batch, EngineEvent, OutboxMessage, Reply};
use routing::{Engine, Nanos};
use routing_config::{NameTables, OperatorSettings, TranslatedSettings};
use std::collections::HashMap;
use thiserror::Error;

/// Error in the handling of a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not a valid batch.
    #[error("batch is not valid: {0}")]
    Malformed(#[source] serde_json::Error),
    /// An arrival of the batch was rejected.
    #[error("batch {serial}: arrival {index}: {source}")]
    Arrival {
        /// Serial number of the batch.
        serial: u64,
        /// Index of the arrival in the batch.
        index: usize,
        /// Reason for the rejection.
        source: ArrivalError,
    },
    /// The reply could not be serialized as JSON.
    #[error("reply could not be serialized as JSON: {0}")]
    Reply(#[source] serde_json::Error),
}

struct Instance {
    engine: Engine,
    names: NameTables,
}

impl Instance {
    fn new(settings: OperatorSettings, seed: u64, now: Nanos) -> Result<Self, ArrivalError> {
        let TranslatedSettings {
            settings, names, ..
        } = settings.translate()?;
        let engine = Engine::new(settings, seed, now)?;
        Ok(Instance { engine, names })
    }
}

/// All instances that this process runs; they share no state.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
}

impl Host {
    /// Handles one batch and returns its reply; both are a line of JSON.
    ///
    /// # Errors
    ///
    /// Returns the first arrival that is malformed or refers to an unknown instance.
    pub fn handle_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Batch = serde_json::from_str(line).map_err(BatchError::Malformed)?;
        let mut outbox = Vec::new();
        for (index, values) in batch.arrivals.iter().enumerate() {
            self.handle_arrival(batch.moment_ns, values, &mut outbox)
                .map_err(|source| BatchError::Arrival {
                    serial: batch.serial,
                    index,
                    source,
                })?;
        }
        let reply = Reply {
            outbox,
            serial: batch.serial,
        };
        serde_json::to_string(&reply).map_err(BatchError::Reply)
    }

    fn handle_arrival<'a>(
        &mut self,
        now: Nanos,
        values: &'a [serde_json::Value],
        outbox: &mut Vec<OutboxMessage<'a>>,
    ) -> Result<(), ArrivalError> {
        match Arrival::parse(values)? {
            Arrival::Enlist {
                instance,
                seed,
                settings,
            } => {
                let created = Instance::new(*settings, seed, now)?;
                self.instances.insert(instance.into(), created);
                Ok(())
            }
            Arrival::Stop(instance) => self
                .instances
                .remove(instance)
                .map(|_| ())
                .ok_or_else(|| ArrivalError::unknown_instance("stop", instance)),
            // Instances share no state, so messages between them are ignored.
            Arrival::PeerMessage(instance) => self.instance("note_from", instance).map(|_| ()),
            Arrival::Engine(event) => self.handle_event(now, &event, outbox),
        }
    }

    fn handle_event<'a>(
        &mut self,
        now: Nanos,
        event: &EngineEvent<'a>,
        outbox: &mut Vec<OutboxMessage<'a>>,
    ) -> Result<(), ArrivalError> {
        let instance = self.instance(event.name(), event.instance)?;
        let event_for_engine = event.translate(&instance.names)?;
        let mut actions = Vec::new();
        instance.engine.handle(now, event_for_engine, &mut actions);
        outbox.extend(
            actions
                .into_iter()
                .filter_map(|action| OutboxMessage::new(event.instance, action)),
        );
        Ok(())
    }

    fn instance(&mut self, event: &str, name: &str) -> Result<&mut Instance, ArrivalError> {
        self.instances
            .get_mut(name)
            .ok_or_else(|| ArrivalError::unknown_instance(event, name))
    }
}
