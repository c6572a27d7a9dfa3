//! Syntax tree of a document, in which each value has its line number.

use super::{DocumentError, FieldPath, PathStep};
use indexmap::IndexMap;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// One value and the line on which it starts.
#[derive(Debug)]
pub(super) struct DocumentNode {
    pub line: usize,
    pub value: NodeValue,
}

#[derive(Debug)]
pub(super) enum NodeValue {
    Null,
    Bool(bool),
    Number(serde_json::Number),
    Text(String),
    /// Elements by their index in the text, which stays the same if other elements are removed.
    List(IndexMap<usize, DocumentNode>),
    Table(IndexMap<String, DocumentNode>),
}

impl DocumentNode {
    /// Line of the value at a path; if there is no such value, the line of the innermost value on
    /// that path.
    pub fn line_of(&self, path: &FieldPath) -> usize {
        let mut node = self;
        for step in &path.0 {
            match node.child(step) {
                Some(child) => node = child,
                None => break,
            }
        }
        node.line
    }

    /// Removes the value at a path from the tree; returns whether it existed.
    pub fn remove(&mut self, path: &FieldPath) -> bool {
        let Some((last, steps)) = path.0.split_last() else {
            return false;
        };
        let mut node = self;
        for step in steps {
            match node.child_mut(step) {
                Some(child) => node = child,
                None => return false,
            }
        }
        node.remove_child(last)
    }

    fn child(&self, step: &PathStep) -> Option<&Self> {
        match (&self.value, step) {
            (NodeValue::Table(fields), PathStep::Field(name)) => fields.get(name),
            (NodeValue::List(elements), PathStep::Index(index)) => elements.get(index),
            _ => None,
        }
    }

    fn child_mut(&mut self, step: &PathStep) -> Option<&mut Self> {
        match (&mut self.value, step) {
            (NodeValue::Table(fields), PathStep::Field(name)) => fields.get_mut(name),
            (NodeValue::List(elements), PathStep::Index(index)) => elements.get_mut(index),
            _ => None,
        }
    }

    fn remove_child(&mut self, step: &PathStep) -> bool {
        match (&mut self.value, step) {
            (NodeValue::Table(fields), PathStep::Field(name)) => {
                fields.shift_remove(name).is_some()
            }
            (NodeValue::List(elements), PathStep::Index(index)) => {
                elements.shift_remove(index).is_some()
            }
            _ => false,
        }
    }
}

/// Parses a document and adds its errors to `errors`; `None` if there is no value to return.
///
/// After a number out of range, parsing continues with `null` in its place; after a repeated
/// field, it continues with the first value of the field.
pub(super) fn read_tree(
    file: &str,
    text: &str,
    errors: &mut Vec<DocumentError>,
) -> Option<DocumentNode> {
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &strict_options()) {
        Ok(parsed) => parsed,
        Err(error) => {
            errors.push(DocumentError {
                file: file.to_owned(),
                line: error.line_display(),
                field: FieldPath::default(),
                expected: "JSON with comments".to_owned(),
                found: error.kind().to_string(),
            });
            return None;
        }
    };
    let Some(value) = parsed.value else {
        errors.push(DocumentError {
            file: file.to_owned(),
            line: 1,
            field: FieldPath::default(),
            expected: "one JSON value".to_owned(),
            found: "no value".to_owned(),
        });
        return None;
    };
    let mut reader = TreeReader {
        file,
        lines: LineIndex::new(text),
        errors,
    };
    Some(reader.node(&value, &FieldPath::default()))
}

fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        ..Default::default()
    }
}

struct TreeReader<'a> {
    file: &'a str,
    lines: LineIndex,
    errors: &'a mut Vec<DocumentError>,
}

impl TreeReader<'_> {
    fn node(&mut self, value: &Value<'_>, path: &FieldPath) -> DocumentNode {
        let line = self.lines.line_at(value.start());
        let value = match value {
            Value::NullKeyword(_) => NodeValue::Null,
            Value::BooleanLit(literal) => NodeValue::Bool(literal.value),
            Value::StringLit(literal) => NodeValue::Text(literal.value.to_string()),
            Value::NumberLit(literal) => self.number(literal.value, line, path),
            Value::Object(object) => NodeValue::Table(self.table(object, path)),
            Value::Array(array) => {
                let elements = array.elements.iter().enumerate();
                NodeValue::List(
                    elements
                        .map(|(index, value)| (index, self.node(value, &path.index(index))))
                        .collect(),
                )
            }
        };
        DocumentNode { line, value }
    }

    fn number(&mut self, text: &str, line: usize, path: &FieldPath) -> NodeValue {
        match serde_json::from_str(text) {
            Ok(number) => NodeValue::Number(number),
            Err(_) => {
                self.report(line, path, "a number in range", text);
                NodeValue::Null
            }
        }
    }

    fn table(&mut self, object: &Object<'_>, path: &FieldPath) -> IndexMap<String, DocumentNode> {
        let mut fields = IndexMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = path.field(name);
            let node = self.node(&property.value, &path);
            if fields.contains_key(name) {
                let line = self.lines.line_at(property.range.start);
                self.report(line, &path, "each field once", "a second value");
                continue;
            }
            fields.insert(name.to_owned(), node);
        }
        fields
    }

    fn report(&mut self, line: usize, path: &FieldPath, expected: &str, found: &str) {
        self.errors.push(DocumentError {
            file: self.file.to_owned(),
            line,
            field: path.clone(),
            expected: expected.to_owned(),
            found: found.to_owned(),
        });
    }
}

/// Offsets of the line ends in a text.
struct LineIndex {
    ends: Vec<usize>,
}

impl LineIndex {
    fn new(text: &str) -> Self {
        Self {
            ends: text.match_indices('\n').map(|(end, _)| end).collect(),
        }
    }

    /// Number of the line that contains the byte at `offset`, from 1.
    fn line_at(&self, offset: usize) -> usize {
        self.ends.partition_point(|end| *end < offset) + 1
    }
}
