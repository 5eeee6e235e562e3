//! Typed access to the values of a row.

use super::arrival::ArrivalError;
use super::request_id;
use routing::{AttemptNumber, EndpointId, LoadReport, RequestId};
use routing_config::{NameTables, parse_load_report};
use serde_json::Value;

/// Values of one event by position; a missing value counts as `null`. Errors contain the names of
/// the event and of the field.
pub struct Fields<'a> {
    pub event: &'a str,
    pub values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub fn error(
        &self,
        position: usize,
        field: &'static str,
        problem: &'static str,
    ) -> ArrivalError {
        ArrivalError::Field {
            event: self.event.into(),
            field,
            problem,
            value: self.get(position).to_string(),
        }
    }

    pub fn get(&self, position: usize) -> &'a Value {
        self.values.get(position).unwrap_or(&Value::Null)
    }

    pub fn text(&self, position: usize, field: &'static str) -> Result<&'a str, ArrivalError> {
        self.get(position)
            .as_str()
            .ok_or_else(|| self.error(position, field, "must be a string"))
    }

    pub fn integer(&self, position: usize, field: &'static str) -> Result<u64, ArrivalError> {
        unsigned_integer(self.get(position))
            .ok_or_else(|| self.error(position, field, "must be an integer of at least 0"))
    }

    pub fn optional_integer(
        &self,
        position: usize,
        field: &'static str,
    ) -> Result<Option<u64>, ArrivalError> {
        match self.get(position) {
            Value::Null => Ok(None),
            _ => self.integer(position, field).map(Some),
        }
    }

    pub fn request_id(&self, position: usize) -> Result<RequestId, ArrivalError> {
        request_id::parse(self.text(position, "rid")?).ok_or_else(|| {
            self.error(
                position,
                "rid",
                "must be 32 lowercase hexadecimal digits in groups of 8-4-4-4-12",
            )
        })
    }

    pub fn endpoint_id(&self, position: usize) -> Result<EndpointId, ArrivalError> {
        self.integer(position, "server").map(EndpointId)
    }

    pub fn attempt_number(&self, position: usize) -> Result<AttemptNumber, ArrivalError> {
        u32::try_from(self.integer(position, "trial")?)
            .map(AttemptNumber)
            .map_err(|_| self.error(position, "trial", "must be below 2^32"))
    }

    /// Returns the index of a name in one of the name tables.
    pub fn name_index(
        &self,
        position: usize,
        field: &'static str,
        names: &[String],
    ) -> Result<usize, ArrivalError> {
        let name = self.text(position, field)?;
        names
            .iter()
            .position(|candidate| candidate == name)
            .ok_or_else(|| self.error(position, field, "must be a name from the settings"))
    }

    pub fn load_report(
        &self,
        position: usize,
        names: &NameTables,
    ) -> Result<Option<LoadReport>, ArrivalError> {
        let values = match self.get(position) {
            Value::Null => return Ok(None),
            Value::Array(values) => values,
            _ => return Err(self.error(position, "usage", "must be an array or null")),
        };
        let columns = names.report_columns.iter().zip(values);
        Ok(Some(parse_load_report(columns.filter_map(
            |(column, value)| Some((column.as_str(), value.as_f64()?)),
        ))))
    }
}

/// Returns an integer of at least 0; a number written with a fraction of 0 is accepted.
fn unsigned_integer(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| {
        value
            .as_f64()
            .filter(|number| *number >= 0.0 && number.fract() == 0.0)
            .map(|number| number as u64)
    })
}
