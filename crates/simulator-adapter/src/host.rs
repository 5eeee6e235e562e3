//! Translation between lines of the wire and the events and actions of one brain for each instance.

use routing::{
    Action, AttemptNumber, AttemptOutcome, AttemptResult, CacheStatus, ClassId, Endpoint,
    EndpointId, EndpointState, Engine, Event, Key, LoadReport, Nanos, NewRequest, RequestId,
    TenantId, TimerToken, UpdateKind,
};
use routing_config::{NameTables, OperatorSettings, parse_load_report};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::HashMap;

/// The wire takes no timer longer than 71 minutes; the brain sets a longer one again.
const LONGEST_TIMER: Nanos = 70 * 60 * 1_000_000_000;

#[derive(Deserialize)]
struct Batch {
    moment_ns: Nanos,
    serial: u64,
    arrivals: Vec<Vec<Value>>,
}

struct Instance {
    brain: Engine,
    names: NameTables,
}

/// All instances that this process hosts; they share nothing.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
}

/// The values of one event, read in order; an error names the event and the field.
struct Fields<'a> {
    event: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn wrong<T>(&self, field: &str, what: &str) -> Result<T, String> {
        Err(format!("{}.{field}: {what}", self.event))
    }
    fn get(&self, at: usize) -> &'a Value {
        self.values.get(at).unwrap_or(&Value::Null)
    }
    fn text(&self, at: usize, field: &str) -> Result<&'a str, String> {
        self.get(at)
            .as_str()
            .map_or_else(|| self.wrong(field, "not a text"), Ok)
    }
    fn whole(&self, at: usize, field: &str) -> Result<u64, String> {
        whole(self.get(at)).map_or_else(|| self.wrong(field, "not a whole number from 0"), Ok)
    }
    fn optional(&self, at: usize, field: &str) -> Result<Option<u64>, String> {
        if self.get(at).is_null() {
            Ok(None)
        } else {
            self.whole(at, field).map(Some)
        }
    }
    fn request(&self, at: usize) -> Result<RequestId, String> {
        let text = self.text(at, "rid")?;
        parse_id(text).map_or_else(|| self.wrong("rid", "not a request id"), Ok)
    }
    fn server(&self, at: usize) -> Result<EndpointId, String> {
        self.whole(at, "server").map(EndpointId)
    }
    fn attempt(&self, at: usize) -> Result<AttemptNumber, String> {
        let number = self.whole(at, "trial")?;
        u32::try_from(number).map_or_else(
            |_| self.wrong("trial", "too large"),
            |n| Ok(AttemptNumber(n)),
        )
    }
    fn named(&self, at: usize, field: &str, names: &[String]) -> Result<usize, String> {
        let name = self.text(at, field)?;
        names
            .iter()
            .position(|n| n == name)
            .map_or_else(|| self.wrong(field, "not in the settings"), Ok)
    }
    fn parse_load_report(
        &self,
        at: usize,
        names: &NameTables,
    ) -> Result<Option<LoadReport>, String> {
        match self.get(at) {
            Value::Null => Ok(None),
            Value::Array(values) => Ok(Some(parse_load_report(
                names
                    .report_columns
                    .iter()
                    .zip(values)
                    .filter_map(|(c, v)| Some((c.as_str(), v.as_f64()?))),
            ))),
            _ => self.wrong("usage", "not a row"),
        }
    }
}

/// A whole number, also where it is written with a fraction of 0.
fn whole(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| {
        value
            .as_f64()
            .filter(|f| *f >= 0.0 && f.fract() == 0.0)
            .map(|f| f as u64)
    })
}

/// Request ids are hex digits in the groups 8-4-4-4-12; only what is written back the same is taken.
fn parse_id(text: &str) -> Option<RequestId> {
    let digits: String = text.chars().filter(|c| *c != '-').collect();
    let id = RequestId(u128::from_str_radix(&digits, 16).ok()?);
    (write_id(id) == text).then_some(id)
}

fn write_id(RequestId(id): RequestId) -> String {
    let hex = format!("{id:032x}");
    [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ]
    .join("-")
}

fn outcome(name: &str) -> AttemptOutcome {
    match name {
        "delivered" => AttemptOutcome::Ok,
        "app_error" => AttemptOutcome::Error,
        "shed" => AttemptOutcome::Rejected,
        "expired" => AttemptOutcome::Timeout,
        "dial_failed" => AttemptOutcome::ConnectFailed,
        "dropped" => AttemptOutcome::Reset,
        "revoked" => AttemptOutcome::Cancelled,
        "unused" => AttemptOutcome::NotSent,
        "empty" => AttemptOutcome::CacheMiss,
        _ => AttemptOutcome::Unreadable,
    }
}

fn entry(value: &Value, names: &NameTables) -> Result<Endpoint, String> {
    let Value::Array(values) = value else {
        return Err("peers_known.nodes_list: a line is not a row".into());
    };
    let f = Fields {
        event: "peers_known.nodes_list",
        values,
    };
    // A zone or kind that the settings don't name is one of its own.
    let index = |at: usize, names: &[String]| {
        f.get(at)
            .as_str()
            .and_then(|name| names.iter().position(|n| n == name))
            .unwrap_or(usize::MAX)
    };
    let phase = match f.text(4, "phase")? {
        "up" => EndpointState::Active,
        "draining" => EndpointState::Draining,
        "removed" => EndpointState::Removed,
        _ => return f.wrong("phase", "unknown"),
    };
    Ok(Endpoint {
        id: f.server(0)?,
        zone: index(1, &names.zones),
        kind: index(2, &names.kinds),
        cell: f.optional(3, "bay")?.unwrap_or(0),
        state: phase,
        weight: f.get(5).as_f64().unwrap_or(1.0),
        started: f.optional(6, "up_since_ns")?.unwrap_or(0),
    })
}

fn event(f: &Fields, names: &NameTables) -> Result<Event, String> {
    Ok(match f.event {
        "peers_known" => Event::EndpointUpdate {
            kind: match f.text(1, "scope")? {
                "patch" => UpdateKind::Delta,
                "whole" => UpdateKind::Full,
                "stale_copy" => UpdateKind::Stale,
                "broken" => UpdateKind::Failed,
                _ => return f.wrong("scope", "unknown"),
            },
            endpoints: match f.get(3) {
                Value::Array(lines) => lines
                    .iter()
                    .map(|l| entry(l, names))
                    .collect::<Result<_, _>>()?,
                Value::Null => Vec::new(),
                _ => return f.wrong("nodes_list", "not a list"),
            },
        },
        "inbound" => {
            let flags = f.optional(8, "flags")?.unwrap_or(0);
            let key = match f.get(4) {
                Value::Null => None,
                _ => match u64::from_str_radix(f.text(4, "target_key")?, 16) {
                    Ok(key) => Some(Key(key)),
                    Err(_) => return f.wrong("target_key", "not hex digits"),
                },
            };
            Event::RequestArrived(NewRequest {
                id: f.request(1)?,
                class: ClassId(f.named(2, "profile", &names.classes)?),
                tenant: match f.get(3) {
                    Value::String(_) => Some(TenantId(f.named(3, "customer", &names.tenants)?)),
                    Value::Null | Value::Number(_) => None,
                    _ => return f.wrong("customer", "not a name"),
                },
                key,
                client_timeout: f.whole(5, "grace_ns")?,
                estimated_work: f.optional(6, "predicted_ns")?.filter(|_| flags & 1 != 0),
                is_write: flags & 4 != 0,
            })
        }
        "attempt_end" => Event::AttemptEnded(AttemptResult {
            request: f.request(1)?,
            attempt: f.attempt(2)?,
            endpoint: f.server(3)?,
            outcome: outcome(f.text(4, "disposition")?),
            latency: f.whole(5, "delay_seen_ns")?,
            request_finished: match f.get(6) {
                Value::Bool(b) => *b,
                Value::Null => false,
                _ => return f.wrong("settled", "not true or false"),
            },
            cache_status: match f.optional(7, "remark")? {
                Some(1) => Some(CacheStatus::Hit),
                Some(2) => Some(CacheStatus::Miss),
                Some(3) => Some(CacheStatus::MissPending),
                _ => None,
            },
            load_report: f.parse_load_report(8, names)?,
        }),
        "aborted" => Event::ClientDisconnected(f.request(1)?),
        "pong" => Event::HealthCheckEnded {
            outcome: outcome(f.text(2, "disposition")?),
            endpoint: f.server(3)?,
            load_report: f.parse_load_report(4, names)?,
        },
        "deadline_hit" => Event::TimerFired(TimerToken(f.whole(1, "cookie")?)),
        "begun" => Event::ResponseStarted {
            request: f.request(1)?,
            attempt: f.attempt(2)?,
        },
        _ => return Err(format!("{}: unknown event", f.event)),
    })
}

/// An action in the wire's words; it has none for what was merely withheld.
fn action(router: &str, action: Action) -> Option<Value> {
    Some(match action {
        Action::Defer { .. } => return None,
        Action::Send {
            request,
            endpoint: server,
            timeout,
            ..
        } => {
            json!([
                "deliver",
                router,
                write_id(request),
                server.0,
                timeout.unwrap_or(0)
            ])
        }
        Action::Fail { request, .. } => json!(["report_failure", router, write_id(request)]),
        Action::Reject {
            request,
            retry_after,
            ..
        } => {
            json!(["overload_reply", router, write_id(request), retry_after])
        }
        Action::Cancel { request, attempt } => {
            json!(["withdraw", router, write_id(request), attempt.0])
        }
        Action::HealthCheck(server) => json!(["ping", router, server.0]),
        Action::CloseIdleConnections(server) => json!(["let_go", router, server.0]),
        Action::QueryDiscovery => json!(["observe", router, true]),
        Action::SetTimer { after, token } => {
            json!(["notify_me", router, after.min(LONGEST_TIMER), token.0])
        }
        Action::Log(text) => json!(["emit", router, text]),
    })
}

impl Host {
    /// One batch in, its reply out.
    pub fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch =
            serde_json::from_str(line).map_err(|e| format!("batch: not valid: {e}"))?;
        let mut outbox = Vec::new();
        for (at, values) in batch.arrivals.iter().enumerate() {
            self.arrival(batch.moment_ns, values, &mut outbox)
                .map_err(|e| format!("batch {}: arrival {at}: {e}", batch.serial))?;
        }
        Ok(json!({"serial": batch.serial, "outbox": outbox}).to_string())
    }

    fn arrival(
        &mut self,
        now: Nanos,
        values: &[Value],
        outbox: &mut Vec<Value>,
    ) -> Result<(), String> {
        let Some(Value::String(name)) = values.first() else {
            return Err("event has no name".into());
        };
        let f = Fields {
            event: name,
            values: &values[1..],
        };
        let router = f.text(0, "router_id")?;
        if name == "enlist" {
            let seed = match f.get(1) {
                Value::Number(n) => n
                    .as_u64()
                    .or(n.as_i64().map(|i| i as u64))
                    .or(n.as_f64().map(|x| x.to_bits())),
                _ => None,
            };
            let Some(seed) = seed else {
                return f.wrong("prng", "not a number");
            };
            let setup = OperatorSettings::deserialize(f.get(2))
                .map_err(|e| format!("enlist.setup: {e}"))?;
            let (settings, names, _) = setup
                .translate()
                .map_err(|e| format!("enlist.setup: {e}"))?;
            let brain =
                Engine::new(settings, seed, now).map_err(|e| format!("enlist.setup: {e}"))?;
            self.instances
                .insert(router.into(), Instance { brain, names });
            return Ok(());
        }
        if name == "stop" {
            return match self.instances.remove(router) {
                Some(_) => Ok(()),
                None => f.wrong("router_id", "unknown instance"),
            };
        }
        let Some(instance) = self.instances.get_mut(router) else {
            return f.wrong("router_id", "unknown instance");
        };
        // Messages between routers are not used.
        if name == "note_from" {
            return Ok(());
        }
        let event = event(&f, &instance.names)?;
        let mut actions = Vec::new();
        instance.brain.handle(now, event, &mut actions);
        outbox.extend(actions.into_iter().filter_map(|a| action(router, a)));
        Ok(())
    }
}
