//! Differences between two documents, by path.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Document;

/// One changed value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Where, such as `pools.write.kind`.
    pub path: String,
    /// Value before; absent when it was added.
    pub before: Option<Value>,
    /// Value after; absent when it was removed.
    pub after: Option<Value>,
}

/// All values that differ, in path order.
pub fn diff(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    walk(
        String::new(),
        &as_value(before),
        &as_value(after),
        &mut changes,
    );
    changes
}

fn as_value(doc: &Document) -> Value {
    // A document holds maps with text keys and finite numbers only, so this can't fail.
    serde_json::to_value(doc).unwrap_or(Value::Null)
}

fn walk(path: String, before: &Value, after: &Value, out: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let (Value::Object(b), Value::Object(a)) = (before, after) else {
        out.push(Change {
            path,
            before: Some(before.clone()),
            after: Some(after.clone()),
        });
        return;
    };
    for (name, old) in b {
        match a.get(name) {
            Some(new) => walk(join(&path, name), old, new, out),
            None => out.push(Change {
                path: join(&path, name),
                before: Some(old.clone()),
                after: None,
            }),
        }
    }
    for (name, new) in a.iter().filter(|(n, _)| !b.contains_key(*n)) {
        out.push(Change {
            path: join(&path, name),
            before: None,
            after: Some(new.clone()),
        });
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
