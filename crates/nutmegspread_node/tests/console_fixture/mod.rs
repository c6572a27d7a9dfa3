//! An example state for the console, and functions that submit the forms of its pages.
#![allow(dead_code, reason = "each test file uses only some of the functions")]

use nutmegspread_model::{
    ConfigurationDocument, DomainSettings, RolloutSettings, RolloutStep, ServiceSettings,
    TargetLimits, TargetSettings,
};
use nutmegspread_node::console::{ConsoleForm, ConsoleState, CoverageLine, NodeLine};
use nutmegspread_policy::rollout::{RolloutStatement, StatementState};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Start of the rollout in [`example_document`].
pub fn example_time() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

pub fn example_document() -> ConfigurationDocument {
    let target = |version: &str, port: u16, domain: &str| TargetSettings {
        service: "catalog".into(),
        domain: domain.into(),
        version: version.into(),
        address: format!("127.0.0.1:{port}"),
        ..TargetSettings::default()
    };
    let limited = TargetSettings {
        limits: Some(TargetLimits::default()),
        ..target("new", 9_002, "south")
    };
    let step = |share| RolloutStep {
        share,
        ..RolloutStep::default()
    };
    let rollout = RolloutSettings {
        service: "catalog".into(),
        from: "old".into(),
        to: "new".into(),
        start: example_time(),
        finish_by: example_time() + Duration::from_millis(3_600_500),
        steps: [0.01, 1.0].map(step).to_vec(),
        ..RolloutSettings::default()
    };
    let service = ServiceSettings {
        version: "old".into(),
        ..ServiceSettings::default()
    };
    ConfigurationDocument {
        revision: 7,
        domains: ["north", "south"]
            .map(|name| (name.into(), DomainSettings::default()))
            .into(),
        services: [("catalog".into(), service)].into(),
        targets: [
            ("t-1".into(), target("old", 9_001, "north")),
            ("t-2".into(), limited),
        ]
        .into(),
        rollouts: [("autumn".into(), rollout)].into(),
    }
}

pub fn example_state() -> ConsoleState {
    let node = |name: &str, revision| NodeLine {
        node: name.into(),
        domain: "north".into(),
        revision,
        lags: revision < 7,
        leaving: false,
    };
    ConsoleState {
        node: "node-1".into(),
        document: example_document(),
        confirmed_age: Some(Duration::from_secs(3)),
        refusal: None,
        nodes: vec![node("node-1", 7), node("node-2", 6)],
        rollouts: vec![RolloutStatement {
            rollout: "autumn".into(),
            state: StatementState::Running,
            step: 1,
            step_count: 3,
            share: 0.005,
            confirmed: Some(example_time()),
            brake: None,
            reason: None,
        }],
        coverage: vec![CoverageLine {
            service: "catalog".into(),
            complete: 1_200,
            partial: 3,
            refused: 1,
        }],
    }
}

/// The form that a browser submits for a page when the button with the value `action` is pressed.
pub fn form_of(page: &str, action: &str) -> ConsoleForm {
    let mut pairs: Vec<(String, String)> = Vec::new();
    let mut rest = page;
    while let Some(start) = next_field(rest) {
        let field_html = &rest[start..];
        let tag_end = field_html.find('>').unwrap();
        let tag = &field_html[..tag_end];
        let name = attribute(tag, "name").unwrap();
        if tag.starts_with("<select") {
            let options = &field_html[..field_html.find("</select>").unwrap()];
            let selected = options
                .split("<option")
                .find(|text| text.contains(" selected"));
            let value = attribute(selected.unwrap(), "value").unwrap();
            pairs.push((name, value));
        } else {
            pairs.push((name, attribute(tag, "value").unwrap_or_default()));
        }
        rest = &field_html[tag_end..];
    }
    pairs.push(("action".into(), action.into()));
    ConsoleForm { pairs }
}

/// Replaces the texts of some fields of a form, given as pairs of field name and text.
pub fn with_texts(mut form: ConsoleForm, texts: &[(&str, &str)]) -> ConsoleForm {
    for (name, text) in texts {
        let pair = form.pairs.iter_mut().find(|(field, _)| field == name);
        pair.unwrap_or_else(|| panic!("the form has no field {name}"))
            .1 = (*text).into();
    }
    form
}

/// Position of the first form field in a part of a page.
fn next_field(page: &str) -> Option<usize> {
    let input = page.find("<input ");
    let select = page.find("<select ");
    match (input, select) {
        (Some(input), Some(select)) => Some(input.min(select)),
        (input, select) => input.or(select),
    }
}

/// Value of an attribute of an HTML tag, unescaped.
fn attribute(tag: &str, name: &str) -> Option<String> {
    let start = tag.find(&format!(" {name}=\""))? + name.len() + 3;
    let end = tag[start..].find('"')? + start;
    let text = tag[start..end].replace("&quot;", "\"");
    let text = text.replace("&lt;", "<").replace("&gt;", ">");
    Some(text.replace("&amp;", "&"))
}
