//! `check-configuration`: finds what is wrong in a configuration document, and what differs from the
//! one in force.

use super::checked_document::{CheckDifference, CheckFinding, CheckedDocument};
use super::operator_client::OperatorClient;
use crate::command_error::CommandError;
use crate::flags::CheckConfiguration;
use nutmegspread_platform::{MAIN_CONFIGURATION, ObjectKind};
use serde::Serialize;
use serde_json::Value;
use std::path::Path;
use std::process::ExitCode;

/// Exit status if there are warnings only.
const WARNINGS: u8 = 1;
/// Exit status if there are errors.
const ERRORS: u8 = 2;
/// Exit status if a document cannot be read.
const UNREADABLE: u8 = 3;

/// What a check found.
#[derive(Serialize)]
struct CheckReport {
    file: String,
    findings: Vec<CheckFinding>,
    /// `None` if there was nothing to compare with.
    differences: Option<Vec<CheckDifference>>,
}

/// Checks a configuration document, prints what was found, and returns the exit status.
pub fn check_configuration(flags: &CheckConfiguration) -> ExitCode {
    let report = match make_report(flags) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("nutmegspread: {error}");
            return ExitCode::from(UNREADABLE);
        }
    };
    let is_printed = if flags.json {
        serde_json::to_string_pretty(&report).map(|text| println!("{text}"))
    } else {
        print_report(&report);
        Ok(())
    };
    if let Err(error) = is_printed {
        eprintln!("nutmegspread: {error}");
        return ExitCode::from(UNREADABLE);
    }
    let has = |severity| {
        report
            .findings
            .iter()
            .any(|finding| finding.severity == severity)
    };
    if has("error") {
        ExitCode::from(ERRORS)
    } else if has("warning") {
        ExitCode::from(WARNINGS)
    } else {
        ExitCode::SUCCESS
    }
}

fn make_report(flags: &CheckConfiguration) -> Result<CheckReport, CommandError> {
    let document = read_file(&flags.file)?;
    let in_force = match (&flags.against, &flags.node) {
        (Some(_), Some(_)) => {
            let reason = "--against and --node exclude each other".to_owned();
            return Err(CommandError::Rejected(vec![reason]));
        }
        (Some(file), None) => Some(read_file(file)?),
        (None, Some(node)) => Some(ask_node(&document, node, flags.token_file.as_deref())?),
        (None, None) => None,
    };
    let findings = document.findings();
    let is_readable = findings.iter().all(|finding| finding.severity != "error");
    let differences = match in_force {
        // An error in the document itself is among the findings.
        Some(in_force) if is_readable || document.is_platform => Some(
            document
                .differences(&in_force)
                .map_err(CommandError::Rejected)?,
        ),
        _ => None,
    };
    Ok(CheckReport {
        file: flags.file.display().to_string(),
        findings,
        differences,
    })
}

fn read_file(path: &Path) -> Result<CheckedDocument, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::ReadFile {
        path: path.into(),
        source,
    })?;
    Ok(CheckedDocument::new(path.display().to_string(), text))
}

/// Reads the document in force from a node, which has the form of `document`.
fn ask_node(
    document: &CheckedDocument,
    node: &str,
    token_file: Option<&Path>,
) -> Result<CheckedDocument, CommandError> {
    let reject = |reason: String| CommandError::Rejected(vec![reason]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let text = if document.is_platform {
        let client = OperatorClient::new(node, "");
        // The call by which other nodes ask for the whole configuration.
        let path = format!("/objects/{}/0", ObjectKind::Configuration.name());
        let answer = runtime.block_on(client.get(&path))?;
        let contents = relayed_contents(&answer);
        contents.ok_or_else(|| reject(format!("node {node} knows no configuration")))?
    } else {
        let token_file =
            token_file.ok_or_else(|| reject("--node needs --token-file".to_owned()))?;
        let client = OperatorClient::from_file(node, token_file)?;
        runtime
            .block_on(client.get("/v1/configuration"))?
            .to_string()
    };
    Ok(CheckedDocument::new(
        format!("configuration of node {node}"),
        text,
    ))
}

/// Text of the main configuration in the answer to a relay call.
fn relayed_contents(answer: &Value) -> Option<String> {
    let objects = answer["objects"].as_array()?;
    let mut objects = objects.iter();
    let object = objects.find(|object| object["name"] == MAIN_CONFIGURATION)?;
    object["contents"].as_str().map(str::to_owned)
}

fn print_report(report: &CheckReport) {
    for finding in &report.findings {
        let CheckFinding {
            severity,
            line,
            part,
            message,
        } = finding;
        let part = if part.is_empty() {
            String::new()
        } else {
            format!("{part}: ")
        };
        println!("{}:{line}: {severity}: {part}{message}", report.file);
    }
    for difference in report.differences.iter().flatten() {
        println!("differs: {}", difference.text);
    }
    let count = |severity| {
        let findings = report.findings.iter();
        findings
            .filter(|finding| finding.severity == severity)
            .count()
    };
    println!(
        "{}: {} errors, {} warnings",
        report.file,
        count("error"),
        count("warning")
    );
}
