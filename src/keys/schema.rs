//! Builds the JSON Schema (draft 2020-12) of a file. The readers run without a value and record what they require of
//! each key, so that a change of a key, a bound or a default in a reader also changes the schema.

use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// A constraint that a reader puts on a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Constraint {
    /// No constraint.
    Any,
    /// Any value is accepted, also none.
    Unchecked,
    /// The key may be absent.
    Optional,
    /// An object without members other than those read.
    Closed,
    /// A string.
    Text,
    /// A number of 0 or more.
    Number,
    /// A whole number between bounds.
    Whole(u64, u64),
    /// A boolean.
    Flag,
    /// An IP address and port.
    Address,
    /// One of the given words.
    Word(Vec<String>),
    /// An array with at least this number of entries.
    List(usize),
}

#[derive(Default)]
struct Node {
    constraints: Vec<Constraint>,
    members: BTreeMap<String, Node>,
    entry: Option<Box<Node>>,
}

/// The recorded constraints, as a tree of keys.
#[derive(Default)]
pub struct SchemaRecorder {
    root: Node,
}

impl SchemaRecorder {
    /// Records a constraint on the key with this path.
    pub fn record(&mut self, path: &str, constraint: Constraint) {
        let mut node = &mut self.root;
        for part in path.split('.').filter(|p| !p.is_empty()) {
            let name = part.trim_end_matches("[]");
            node = node.members.entry(name.to_string()).or_default();
            for _ in 0..(part.len() - name.len()) / 2 {
                node = node.entry.get_or_insert_default();
            }
        }
        if !node.constraints.contains(&constraint) {
            node.constraints.push(constraint);
        }
    }

    /// Makes every key optional, as for a value that is merged over another one.
    pub fn all_optional(mut self) -> SchemaRecorder {
        self.root.make_optional();
        self
    }

    /// Returns the schema.
    pub fn schema(&self, title: &str) -> Value {
        let mut schema = self.root.schema();
        schema["$schema"] = json!("https://json-schema.org/draft/2020-12/schema");
        schema["title"] = json!(title);
        schema
    }
}

impl Node {
    fn make_optional(&mut self) {
        if !self.constraints.contains(&Constraint::Optional) {
            self.constraints.push(Constraint::Optional);
        }
        self.members.values_mut().chain(self.entry.as_deref_mut()).for_each(Node::make_optional);
    }

    fn is_required(&self) -> bool {
        if self.constraints.contains(&Constraint::Optional) {
            return false;
        }
        let own = self
            .constraints
            .iter()
            .any(|c| !matches!(c, Constraint::Any | Constraint::Unchecked | Constraint::Closed));
        own || self.members.iter().any(|(name, m)| name != "*" && m.is_required())
    }

    /// Returns the intersection of all recorded bounds on a whole number.
    fn whole_bounds(&self) -> Option<(u64, u64)> {
        let bounds = self.constraints.iter().filter_map(|c| {
            if let Constraint::Whole(least, most) = c { Some((*least, *most)) } else { None }
        });
        bounds.reduce(|one, other| (one.0.max(other.0), one.1.min(other.1)))
    }

    fn schema(&self) -> Value {
        if self.constraints.contains(&Constraint::Unchecked) {
            return json!({});
        }
        let mut out = Map::new();
        let mut kind = "object";
        if let Some((least, most)) = self.whole_bounds() {
            kind = "integer";
            out.insert("minimum".into(), json!(least));
            if most < u64::MAX {
                out.insert("maximum".into(), json!(most));
            }
        }
        for constraint in &self.constraints {
            match constraint {
                Constraint::Text => kind = "string",
                Constraint::Address => {
                    kind = "string";
                    out.insert(
                        "pattern".into(),
                        json!(r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.%]+\]):\d{1,5}$"),
                    );
                }
                Constraint::Number => {
                    kind = "number";
                    out.insert("minimum".into(), json!(0));
                }
                Constraint::Flag => kind = "boolean",
                Constraint::Word(words) => {
                    kind = "string";
                    out.insert("enum".into(), json!(words));
                }
                Constraint::List(least) => {
                    kind = "array";
                    out.insert("minItems".into(), json!(least));
                }
                _ => {}
            }
        }
        if let Some(entry) = &self.entry {
            out.insert("items".into(), entry.schema());
        }
        let named = self.members.iter().filter(|(name, _)| *name != "*");
        let properties: Map<String, Value> = named.clone().map(|(n, m)| (n.clone(), m.schema())).collect();
        if !properties.is_empty() {
            out.insert("properties".into(), Value::Object(properties));
            let required: Vec<&String> = named.filter(|(_, m)| m.is_required()).map(|(n, _)| n).collect();
            if !required.is_empty() {
                out.insert("required".into(), json!(required));
            }
        }
        if let Some(any) = self.members.get("*") {
            out.insert("additionalProperties".into(), any.schema());
        } else if self.constraints.contains(&Constraint::Closed) {
            out.insert("additionalProperties".into(), json!(false));
        }
        // The readers treat null as absent, so it is allowed wherever the key is optional.
        let nullable = self.constraints.contains(&Constraint::Optional) && !out.contains_key("enum");
        out.insert("type".into(), if nullable { json!([kind, "null"]) } else { json!(kind) });
        Value::Object(out)
    }
}
