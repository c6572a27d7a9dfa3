//! A serde deserializer for the syntax tree of a document, whose errors contain the path of the
//! invalid value.

use super::document_node::{DocumentNode, NodeValue};
use super::{FieldPath, PathStep};
use serde::de::value::StrDeserializer;
use serde::de::{self, DeserializeSeed, Expected, IntoDeserializer, Unexpected, Visitor};
use std::fmt;

/// Error of the deserializer: path of the invalid value, what was expected and what was found.
#[derive(Debug)]
pub(super) struct ReadFailure {
    /// Steps from the root to the invalid value, in reverse order: each enclosing map or list
    /// appends its step when it returns the error.
    steps: Vec<PathStep>,
    pub expected: String,
    pub found: String,
}

impl ReadFailure {
    fn new(expected: impl fmt::Display, found: impl fmt::Display) -> Self {
        let expected = readable_type(expected.to_string());
        Self {
            steps: Vec::new(),
            expected,
            found: found.to_string(),
        }
    }

    /// Adds the step that leads from an enclosing map or list to the value with the error.
    fn with_outer_step(mut self, step: PathStep) -> Self {
        self.steps.push(step);
        self
    }

    /// Path from the root to the invalid value.
    pub fn path(&self) -> FieldPath {
        FieldPath(self.steps.iter().rev().cloned().collect())
    }
}

impl fmt::Display for ReadFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "expected {}, found {}",
            self.expected, self.found
        )
    }
}

impl std::error::Error for ReadFailure {}

impl de::Error for ReadFailure {
    fn custom<T: fmt::Display>(message: T) -> Self {
        Self::new("a valid value", message)
    }

    fn invalid_type(unexpected: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::new(expected, unexpected)
    }

    fn invalid_value(unexpected: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::new(expected, unexpected)
    }

    fn invalid_length(length: usize, expected: &dyn Expected) -> Self {
        Self::new(expected, format_args!("{length} elements"))
    }

    fn unknown_variant(variant: &str, expected: &'static [&'static str]) -> Self {
        Self::new(one_of(expected), format_args!("{variant:?}"))
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        Self::new(
            one_of(expected),
            format_args!("the unknown field {field:?}"),
        )
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new(format_args!("the field {field:?}"), "none")
    }
}

/// Replaces the name of a Rust type, as serde states it, by a description for operators.
fn readable_type(expected: String) -> String {
    match expected.as_str() {
        "u16" => "a whole number from 0 to 65535".to_owned(),
        "u32" => "a whole number from 0 to 4294967295".to_owned(),
        "u64" => "a whole number from 0 up".to_owned(),
        "f64" => "a number".to_owned(),
        _ => expected,
    }
}

fn one_of(names: &[&str]) -> String {
    match names {
        [] => "no field".to_owned(),
        [name] => format!("{name:?}"),
        names => format!("one of {names:?}"),
    }
}

/// Deserializes one value of the syntax tree.
#[derive(Clone, Copy)]
pub(super) struct NodeDeserializer<'a>(pub &'a DocumentNode);

impl<'de> de::Deserializer<'de> for NodeDeserializer<'de> {
    type Error = ReadFailure;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadFailure> {
        match &self.0.value {
            NodeValue::Null => visitor.visit_unit(),
            NodeValue::Bool(value) => visitor.visit_bool(*value),
            NodeValue::Text(value) => visitor.visit_str(value),
            NodeValue::Number(value) => visit_number(value, visitor),
            NodeValue::List(elements) => visitor.visit_seq(ListAccess {
                elements: elements.iter(),
            }),
            NodeValue::Table(fields) => visitor.visit_map(TableAccess {
                fields: fields.iter(),
                current: None,
            }),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadFailure> {
        match self.0.value {
            NodeValue::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, ReadFailure> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadFailure> {
        match &self.0.value {
            NodeValue::Text(name) => {
                let name: StrDeserializer<'_, ReadFailure> = name.as_str().into_deserializer();
                visitor.visit_enum(name)
            }
            NodeValue::Table(fields) => {
                let access = TableAccess {
                    fields: fields.iter(),
                    current: None,
                };
                visitor.visit_enum(de::value::MapAccessDeserializer::new(access))
            }
            _ => self.deserialize_any(visitor),
        }
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

fn visit_number<'de, V: Visitor<'de>>(
    number: &serde_json::Number,
    visitor: V,
) -> Result<V::Value, ReadFailure> {
    if let Some(value) = number.as_u64() {
        return visitor.visit_u64(value);
    }
    if let Some(value) = number.as_i64() {
        return visitor.visit_i64(value);
    }
    visitor.visit_f64(number.as_f64().unwrap_or(f64::NAN))
}

struct ListAccess<'a> {
    elements: indexmap::map::Iter<'a, usize, DocumentNode>,
}

impl<'de> de::SeqAccess<'de> for ListAccess<'de> {
    type Error = ReadFailure;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, ReadFailure> {
        let Some((index, element)) = self.elements.next() else {
            return Ok(None);
        };
        let value = seed.deserialize(NodeDeserializer(element));
        value
            .map(Some)
            .map_err(|failure| failure.with_outer_step(PathStep::Index(*index)))
    }
}

struct TableAccess<'a> {
    fields: indexmap::map::Iter<'a, String, DocumentNode>,
    current: Option<(&'a String, &'a DocumentNode)>,
}

impl<'de> de::MapAccess<'de> for TableAccess<'de> {
    type Error = ReadFailure;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, ReadFailure> {
        self.current = self.fields.next();
        let Some((name, _)) = self.current else {
            return Ok(None);
        };
        let key: StrDeserializer<'_, ReadFailure> = name.as_str().into_deserializer();
        let key = seed.deserialize(key);
        key.map(Some)
            .map_err(|failure| failure.with_outer_step(PathStep::Field(name.clone())))
    }

    fn next_value_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<T::Value, ReadFailure> {
        let Some((name, node)) = self.current.take() else {
            return Err(ReadFailure::new("a field name", "a value without a name"));
        };
        let value = seed.deserialize(NodeDeserializer(node));
        value.map_err(|failure| failure.with_outer_step(PathStep::Field(name.clone())))
    }
}
