//! Kinds of form fields, and the conversion between their text and JSON values.

use super::utc_time::{format_utc, parse_utc};
use serde_json::Value;

/// Kind of a field's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FieldKind {
    /// Any text.
    Text,
    /// A whole number, 0 or more.
    Count,
    /// A number from 0 to 1.
    Fraction,
    /// A time, shown in UTC and stored in milliseconds since the Unix epoch.
    Time,
    /// Names separated by commas.
    Names,
    /// Yes or no.
    Flag,
    /// Active or drained.
    Serving,
    /// The name of a service of the draft.
    Service,
    /// The name of a failure domain of the draft.
    Domain,
}

impl FieldKind {
    /// Parses a submitted text. The range of a fraction and whether names exist are checked later, with
    /// the whole document.
    ///
    /// # Errors
    /// A description of the expected text, if the text cannot be parsed.
    pub fn parse(self, text: &str) -> Result<Value, &'static str> {
        let text = text.trim();
        match self {
            Self::Text | Self::Serving | Self::Service | Self::Domain => Ok(text.into()),
            Self::Count => {
                let count = text.parse::<u64>();
                count
                    .map(Value::from)
                    .map_err(|_| "a whole number from 0 up")
            }
            Self::Fraction => {
                let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
                number.map(Value::from).ok_or("a number from 0 to 1")
            }
            Self::Time => parse_utc(text)
                .map(Value::from)
                .ok_or("a time in UTC, as in 2026-01-31 08:05:00"),
            Self::Names => Ok(parse_names(text)),
            Self::Flag => Ok((text == "yes").into()),
        }
    }

    /// Formats a value as the text of a field; empty if the value has another type.
    pub fn format(self, value: &Value) -> String {
        match (self, value) {
            (Self::Time, Value::Number(millis)) => {
                millis.as_u64().map_or_else(String::new, format_utc)
            }
            (Self::Flag, Value::Bool(true)) => "yes".into(),
            (Self::Flag, _) => "no".into(),
            (_, Value::String(text)) => text.clone(),
            (_, Value::Number(number)) => number.to_string(),
            (_, Value::Array(names)) => {
                let names = names.iter().filter_map(Value::as_str);
                names.collect::<Vec<_>>().join(", ")
            }
            _ => String::new(),
        }
    }
}

fn parse_names(text: &str) -> Value {
    let names = text.split(',').map(str::trim);
    let names = names.filter(|name| !name.is_empty());
    names.map(Value::from).collect::<Vec<_>>().into()
}
