//! A state to show, and a reader of forms in pages.
#![allow(dead_code, reason = "each test file uses its own part")]

use nutmegspread_model::{
    ConfigurationDocument, DomainSettings, RolloutSettings, RolloutStep, ServiceSettings,
    TargetLimits, TargetSettings,
};
use nutmegspread_node::console::{ConsoleForm, ConsoleState, CoverageLine, NodeLine};
use nutmegspread_policy::rollout::{RolloutStatement, StatementState};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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

/// The form of a page as a browser would send it with one button pressed.
pub fn form_of(page: &str, action: &str) -> ConsoleForm {
    let mut pairs: Vec<(String, String)> = Vec::new();
    let mut rest = page;
    while let Some(start) = next_control(rest) {
        let control = &rest[start..];
        let tag_end = control.find('>').unwrap();
        let tag = &control[..tag_end];
        let name = attribute(tag, "name").unwrap();
        if tag.starts_with("<select") {
            let options = &control[..control.find("</select>").unwrap()];
            let selected = options
                .split("<option")
                .find(|text| text.contains(" selected"));
            let value = attribute(selected.unwrap(), "value").unwrap();
            pairs.push((name, value));
        } else {
            pairs.push((name, attribute(tag, "value").unwrap_or_default()));
        }
        rest = &control[tag_end..];
    }
    pairs.push(("action".into(), action.into()));
    ConsoleForm { pairs }
}

/// The same form with other texts in some fields.
pub fn with_texts(mut form: ConsoleForm, texts: &[(&str, &str)]) -> ConsoleForm {
    for (name, text) in texts {
        let pair = form.pairs.iter_mut().find(|(own, _)| own == name);
        pair.unwrap_or_else(|| panic!("no field {name}")).1 = (*text).into();
    }
    form
}

fn next_control(page: &str) -> Option<usize> {
    let input = page.find("<input ");
    let select = page.find("<select ");
    match (input, select) {
        (Some(input), Some(select)) => Some(input.min(select)),
        (input, select) => input.or(select),
    }
}

fn attribute(tag: &str, name: &str) -> Option<String> {
    let start = tag.find(&format!(" {name}=\""))? + name.len() + 3;
    let end = tag[start..].find('"')? + start;
    let text = tag[start..end].replace("&quot;", "\"");
    let text = text.replace("&lt;", "<").replace("&gt;", ">");
    Some(text.replace("&amp;", "&"))
}
