//! Compares two tables row by row, for display and for programs.
//!
//! Rows are compared as the text that an operator writes, so every difference can be edited in the
//! document. A key that is set to its default equals a key that is left out.

use std::collections::BTreeMap;
use std::fmt;

use primrose_core::table::Table;
use serde::Serialize;

use crate::pool;
use crate::route;
use crate::row::Row;

/// The table that a change belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TableKind {
    /// The routes table.
    Route,
    /// The pools table.
    Pool,
}

/// The kind of change of a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Only the newer table has the section.
    Added,
    /// Only the older table has the section.
    Removed,
    /// Both tables have the section, with different values.
    Changed,
}

/// One value that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Field {
    /// Key of the value.
    pub key: String,
    /// Value in the older table.
    pub before: Option<String>,
    /// Value in the newer table.
    pub after: Option<String>,
}

/// One section that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Table of the section.
    pub table: TableKind,
    /// Name of the route or pool.
    pub name: String,
    /// Kind of the change.
    pub action: Action,
    /// The values that differ; never empty.
    pub fields: Vec<Field>,
}

impl fmt::Display for Change {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            Action::Added => '+',
            Action::Removed => '-',
            Action::Changed => '~',
        };
        let kind = match self.table {
            TableKind::Route => route::KIND,
            TableKind::Pool => pool::KIND,
        };
        write!(out, "{sign} [{kind} {}]", self.name)?;
        for field in &self.fields {
            if let Some(before) = &field.before {
                write!(out, "\n  - {} = {before}", field.key)?;
            }
            if let Some(after) = &field.after {
                write!(out, "\n  + {} = {after}", field.key)?;
            }
        }
        Ok(())
    }
}

type Sections = BTreeMap<(TableKind, String), Vec<Row>>;

/// Returns the changes from the older to the newer table, without that of the generation.
pub fn diff(older: &Table, newer: &Table) -> Vec<Change> {
    let before = sections(older);
    let after = sections(newer);
    let mut names: Vec<&(TableKind, String)> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let changes = names.into_iter().filter_map(|id| {
        let fields = fields(before.get(id), after.get(id));
        let action = match (before.contains_key(id), after.contains_key(id)) {
            (false, _) => Action::Added,
            (_, false) => Action::Removed,
            _ => Action::Changed,
        };
        let (table, name) = id.clone();
        let change = Change {
            table,
            name,
            action,
            fields,
        };
        (!change.fields.is_empty()).then_some(change)
    });
    changes.collect()
}

fn sections(table: &Table) -> Sections {
    let routes = table.routes.values();
    let pools = table.pools.values();
    let routes = routes.map(|route| ((TableKind::Route, route.name.clone()), route::rows(route)));
    let pools = pools.map(|pool| ((TableKind::Pool, pool.name.clone()), pool::rows(pool)));
    routes.chain(pools).collect()
}

fn fields(before: Option<&Vec<Row>>, after: Option<&Vec<Row>>) -> Vec<Field> {
    let none = Vec::new();
    let before = before.unwrap_or(&none);
    let after = after.unwrap_or(&none);
    let value = |rows: &[Row], key: &str| {
        let row = rows.iter().find(|row| row.key == key);
        row.map(|row| row.value.clone())
    };
    let mut keys: Vec<&str> = before.iter().map(|row| row.key.as_str()).collect();
    for row in after {
        if !keys.contains(&row.key.as_str()) {
            keys.push(&row.key);
        }
    }
    let fields = keys.into_iter().map(|key| Field {
        key: key.to_owned(),
        before: value(before, key),
        after: value(after, key),
    });
    fields.filter(|field| field.before != field.after).collect()
}
