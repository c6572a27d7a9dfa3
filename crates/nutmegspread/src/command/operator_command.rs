//! `apply`, `status` and `dump`: commands that use a node's operator interface.

use super::configuration_command::read_document;
use super::operator_client::OperatorClient;
use crate::command_error::CommandError;
use crate::flags::{Apply, Dump, Status};
use indexmap::IndexSet;
use nutmegspread_model::Revision;
use serde_json::Value;
use std::time::{Duration, Instant};

const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends a configuration document to a node and, with `--wait`, waits until every node has applied
/// the new revision.
///
/// # Errors
/// When the document is invalid, the node cannot be reached or refuses (as when `--base` is no
/// longer the current revision), or some nodes have not applied the revision in time.
pub fn apply(flags: &Apply) -> Result<(), CommandError> {
    let document = read_document(&flags.file)?;
    let client = OperatorClient::from_file(&flags.node, &flags.token_file)?;
    block_on(async {
        let revision = client.apply(&document, flags.base).await?;
        println!("accepted as revision {revision}");
        match flags.wait {
            Some(seconds) => {
                wait_until_applied(&client, revision, Duration::from_secs(seconds)).await
            }
            None => Ok(()),
        }
    })
}

/// Waits up to `timeout` until every node has applied a revision.
///
/// # Errors
/// [`CommandError::Lagging`] with the nodes that have not applied the revision by then, or the error
/// of a failed status request.
pub async fn wait_until_applied(
    client: &OperatorClient,
    revision: Revision,
    timeout: Duration,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + timeout;
    loop {
        let status = client.get("/v1/status").await?;
        let lagging = lagging_nodes(&status, revision);
        if lagging.is_empty() {
            println!("every node has applied revision {revision}");
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::Lagging {
                revision,
                nodes: lagging.join(", "),
            });
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

fn lagging_nodes(status: &Value, revision: Revision) -> Vec<String> {
    let Some(nodes) = status["nodes"].as_object() else {
        return vec!["every node".into()];
    };
    let is_behind = |node: &Value| {
        node["revision"]
            .as_u64()
            .is_none_or(|applied| applied < revision)
    };
    let reported = status["lagging"].as_array().into_iter().flatten();
    let reported = reported.filter_map(|node| node.as_str().map(str::to_owned));
    let behind = nodes
        .iter()
        .filter(|(_, node)| is_behind(node))
        .map(|(name, _)| name.clone());
    let all: IndexSet<String> = behind.chain(reported).collect();
    all.into_iter().collect()
}

/// Prints the configuration revision that each node has applied, as JSON.
///
/// # Errors
/// When the node cannot be reached or answers with an error status.
pub fn status(flags: &Status) -> Result<(), CommandError> {
    print_answer(
        &OperatorClient::from_file(&flags.node, &flags.token_file)?,
        "/v1/status",
    )
}

/// Prints the whole state of a node as JSON.
///
/// # Errors
/// When the node cannot be reached or answers with an error status.
pub fn dump(flags: &Dump) -> Result<(), CommandError> {
    print_answer(
        &OperatorClient::from_file(&flags.node, &flags.token_file)?,
        "/v1/dump",
    )
}

fn print_answer(client: &OperatorClient, path: &str) -> Result<(), CommandError> {
    let answer = block_on(client.get(path))?;
    println!("{answer:#}");
    Ok(())
}

fn block_on<T>(future: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(future)
}
