//! `apply`, `status` and `dump`: calls on a node's operators' interface.

use super::configuration_command::read_document;
use super::operator_client::OperatorClient;
use crate::command_error::CommandError;
use crate::flags::{Apply, Dump, Status};
use indexmap::IndexSet;
use nutmegspread_model::Revision;
use serde_json::Value;
use std::time::{Duration, Instant};

const STATUS_POLL: Duration = Duration::from_millis(100);

/// Applies a document, and waits until it is in force everywhere if asked to.
///
/// # Errors
/// When the document is not acceptable, a racing operator was first, or nodes lag.
pub fn apply(flags: &Apply) -> Result<(), CommandError> {
    let document = read_document(&flags.file)?;
    let client = OperatorClient::from_file(&flags.node, &flags.token_file)?;
    run(async {
        let revision = client.apply(&document, flags.base).await?;
        println!("accepted as revision {revision}");
        match flags.wait {
            Some(seconds) => wait_in_force(&client, revision, Duration::from_secs(seconds)).await,
            None => Ok(()),
        }
    })
}

/// Waits until no node lags behind a revision.
///
/// # Errors
/// [`CommandError::Lagging`] names the nodes that lag when the time runs out.
pub async fn wait_in_force(
    client: &OperatorClient,
    revision: Revision,
    within: Duration,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + within;
    loop {
        let status = client.read("/v1/status").await?;
        let lagging = lagging_nodes(&status, revision);
        if lagging.is_empty() {
            println!("revision {revision} is in force on every node");
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::Lagging {
                revision,
                nodes: lagging.join(", "),
            });
        }
        tokio::time::sleep(STATUS_POLL).await;
    }
}

fn lagging_nodes(status: &Value, revision: Revision) -> Vec<String> {
    let Some(nodes) = status["nodes"].as_object() else {
        return vec!["every node".into()];
    };
    let lags = |node: &Value| {
        node["revision"]
            .as_u64()
            .is_none_or(|applied| applied < revision)
    };
    let named = status["lagging"].as_array().into_iter().flatten();
    let named = named.filter_map(|node| node.as_str().map(str::to_owned));
    let late = nodes
        .iter()
        .filter(|(_, node)| lags(node))
        .map(|(name, _)| name.clone());
    let all: IndexSet<String> = late.chain(named).collect();
    all.into_iter().collect()
}

/// Prints what is in force where.
///
/// # Errors
/// When the node cannot be reached or refuses.
pub fn status(flags: &Status) -> Result<(), CommandError> {
    print_answer(
        &OperatorClient::from_file(&flags.node, &flags.token_file)?,
        "/v1/status",
    )
}

/// Prints the whole state of a node.
///
/// # Errors
/// When the node cannot be reached or refuses.
pub fn dump(flags: &Dump) -> Result<(), CommandError> {
    print_answer(
        &OperatorClient::from_file(&flags.node, &flags.token_file)?,
        "/v1/dump",
    )
}

fn print_answer(client: &OperatorClient, path: &str) -> Result<(), CommandError> {
    let answer = run(client.read(path))?;
    println!("{answer:#}");
    Ok(())
}

fn run<T>(work: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(work)
}
