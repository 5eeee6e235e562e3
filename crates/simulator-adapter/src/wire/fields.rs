//! Typed access to the values of a row.

use super::arrival::ArrivalError;
use super::request_id;
use routing::{AttemptNumber, EndpointId, LoadReport, RequestId};
use routing_config::{NameTables, parse_load_report};
use serde_json::Value;

/// The values of one event, by position; a missing one counts as `null`. Errors name the event and
/// the field.
pub struct Fields<'a> {
    pub event: &'a str,
    pub values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub fn error(&self, at: usize, field: &'static str, problem: &'static str) -> ArrivalError {
        ArrivalError::Field {
            event: self.event.into(),
            field,
            problem,
            value: self.get(at).to_string(),
        }
    }

    pub fn get(&self, at: usize) -> &'a Value {
        self.values.get(at).unwrap_or(&Value::Null)
    }

    pub fn text(&self, at: usize, field: &'static str) -> Result<&'a str, ArrivalError> {
        self.get(at)
            .as_str()
            .ok_or_else(|| self.error(at, field, "not a text"))
    }

    pub fn integer(&self, at: usize, field: &'static str) -> Result<u64, ArrivalError> {
        unsigned_integer(self.get(at))
            .ok_or_else(|| self.error(at, field, "not a whole number from 0"))
    }

    pub fn optional_integer(
        &self,
        at: usize,
        field: &'static str,
    ) -> Result<Option<u64>, ArrivalError> {
        match self.get(at) {
            Value::Null => Ok(None),
            _ => self.integer(at, field).map(Some),
        }
    }

    pub fn request_id(&self, at: usize) -> Result<RequestId, ArrivalError> {
        request_id::parse(self.text(at, "rid")?)
            .ok_or_else(|| self.error(at, "rid", "not a request id"))
    }

    pub fn endpoint_id(&self, at: usize) -> Result<EndpointId, ArrivalError> {
        self.integer(at, "server").map(EndpointId)
    }

    pub fn attempt_number(&self, at: usize) -> Result<AttemptNumber, ArrivalError> {
        u32::try_from(self.integer(at, "trial")?)
            .map(AttemptNumber)
            .map_err(|_| self.error(at, "trial", "too large"))
    }

    /// The index of a name in one of the name tables.
    pub fn name_index(
        &self,
        at: usize,
        field: &'static str,
        names: &[String],
    ) -> Result<usize, ArrivalError> {
        let name = self.text(at, field)?;
        names
            .iter()
            .position(|n| n == name)
            .ok_or_else(|| self.error(at, field, "not in the settings"))
    }

    pub fn load_report(
        &self,
        at: usize,
        names: &NameTables,
    ) -> Result<Option<LoadReport>, ArrivalError> {
        let values = match self.get(at) {
            Value::Null => return Ok(None),
            Value::Array(values) => values,
            _ => return Err(self.error(at, "usage", "not a row")),
        };
        let columns = names.report_columns.iter().zip(values);
        Ok(Some(parse_load_report(columns.filter_map(
            |(column, value)| Some((column.as_str(), value.as_f64()?)),
        ))))
    }
}

/// An integer from 0, also where it is written with a fraction of 0.
fn unsigned_integer(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| {
        value
            .as_f64()
            .filter(|f| *f >= 0.0 && f.fract() == 0.0)
            .map(|f| f as u64)
    })
}
