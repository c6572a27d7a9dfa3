//! Path of a value within a document.

use std::fmt;

/// One step of a path: from a map or list to a value that it contains.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PathStep {
    /// Name of a field, or key of a map.
    Field(String),
    /// Index into a list, from 0.
    Index(usize),
}

/// Path from the root of a document, shown as `targets.t1.limits.slots` or `steps[0].share`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FieldPath(pub Vec<PathStep>);

impl FieldPath {
    /// Path of a field of the value at this path.
    pub fn field(&self, name: &str) -> Self {
        self.append(PathStep::Field(name.to_owned()))
    }

    /// Path of an element of the list at this path.
    pub fn index(&self, index: usize) -> Self {
        self.append(PathStep::Index(index))
    }

    /// Path of the map or list that contains the value at this path; `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        let (_, steps) = self.0.split_last()?;
        Some(Self(steps.to_vec()))
    }

    fn append(&self, step: PathStep) -> Self {
        let mut steps = self.0.clone();
        steps.push(step);
        Self(steps)
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Index(index) => write!(formatter, "[{index}]")?,
                PathStep::Field(name) if needs_quotes(name) => write!(formatter, "[{name:?}]")?,
                PathStep::Field(name) if position == 0 => write!(formatter, "{name}")?,
                PathStep::Field(name) => write!(formatter, ".{name}")?,
            }
        }
        Ok(())
    }
}

fn needs_quotes(name: &str) -> bool {
    name.is_empty() || name.contains(|c: char| !c.is_alphanumeric() && c != '-' && c != '_')
}
