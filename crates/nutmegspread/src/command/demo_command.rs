//! `demo`: sends queries and orders through a small deployment in one process and checks the
//! answers.

use super::demo_world::{DEMO_DOMAINS, DEMO_SERVICES, DEMO_TOKEN, DemoWorld, NODE_COUNT};
use super::operator_client::{OperatorClient, read_answer};
use super::operator_command::wait_until_applied;
use crate::command_error::CommandError;
use nutmegspread_model::{
    AddressAnswer, OrderAnswer, OrderRequest, QueryAnswer, QueryRequest, ServingState,
};
use nutmegspread_node::start_logging;
use nutmegspread_wire::target::IDEMPOTENCY_KEY_HEADER;
use serde::de::DeserializeOwned;
use std::time::{Duration, SystemTime};

const QUERIES_PER_SERVICE: u32 = 5;
const MAX_READY_POLLS: u32 = 200;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
const DRAIN_WAIT: Duration = Duration::from_secs(3);

/// Starts the demo deployment, sends queries and a repeated order, drains a failure domain and stops
/// the deployment as planned.
///
/// # Errors
/// [`CommandError::DemoFailed`] when a check fails, or the error of a failed start or request.
pub fn demo() -> Result<(), CommandError> {
    start_logging("warn")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let world = DemoWorld::start().await?;
        let result = run_demo(&world).await;
        let stopped_in_time = world.close().await;
        result?;
        ensure(stopped_in_time, "planned stops cut no request")?;
        println!("done: every check passed");
        Ok(())
    })
}

async fn run_demo(world: &DemoWorld) -> Result<(), CommandError> {
    let operator_client =
        OperatorClient::new(&world.nodes[0].operator_address().to_string(), DEMO_TOKEN);
    let mut document = world.document();
    let revision = operator_client.apply(&document, 0).await?;
    println!("the configuration was accepted as revision {revision}");
    wait_until_applied(&operator_client, revision, APPLY_TIMEOUT).await?;
    wait_for_addresses(world).await?;
    let address = choose_address(world).await?;
    wait_for_services(&address).await?;
    let mut losses = count_share_losses(world).await?;
    run_queries(world, &address, &mut losses).await?;
    run_repeated_order(world, &address).await?;
    let drained_domain = DEMO_DOMAINS[1];
    document
        .domains
        .entry(drained_domain.into())
        .or_default()
        .state = ServingState::Drained;
    let revision = operator_client.apply(&document, revision).await?;
    println!("draining {drained_domain} with revision {revision}");
    wait_until_applied(&operator_client, revision, APPLY_TIMEOUT).await?;
    tokio::time::sleep(DRAIN_WAIT).await;
    let started_before = count_started_searches(world, drained_domain);
    run_queries(world, &address, &mut losses).await?;
    let started_after = count_started_searches(world, drained_domain);
    println!(
        "searches started in {drained_domain} since the drain: {}",
        started_after - started_before
    );
    ensure(
        started_after == started_before,
        "a drained failure domain gets no new work",
    )
}

/// Waits until the first node advertises the addresses of all nodes.
async fn wait_for_addresses(world: &DemoWorld) -> Result<(), CommandError> {
    for _ in 0..MAX_READY_POLLS {
        if fetch_addresses(world)
            .await
            .is_ok_and(|answer| answer.addresses.len() == NODE_COUNT)
        {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    ensure(false, "every node is advertised to callers")
}

async fn fetch_addresses(world: &DemoWorld) -> Result<AddressAnswer, CommandError> {
    let node_address = world.nodes[0].caller_address();
    let url = format!(
        "http://{node_address}/v1/addresses?domain={}",
        DEMO_DOMAINS[0]
    );
    send_request(reqwest::Client::new().get(url)).await
}

async fn choose_address(world: &DemoWorld) -> Result<String, CommandError> {
    let answer = fetch_addresses(world).await?;
    let Some(first) = answer.addresses.first() else {
        return Err(CommandError::DemoFailed(
            "the node advertises no address".into(),
        ));
    };
    println!(
        "sending to {} ({}, {}); {} other addresses as fallbacks, valid for {} ms",
        first.address,
        first.node,
        first.domain,
        answer.addresses.len() - 1,
        answer.keep_for.as_millis()
    );
    Ok(first.address.clone())
}

/// Waits until every service answers queries with full coverage.
async fn wait_for_services(address: &str) -> Result<(), CommandError> {
    for service in DEMO_SERVICES {
        let mut ready = false;
        for _ in 0..MAX_READY_POLLS {
            ready = query(address, service)
                .await
                .is_ok_and(|answer| answer.coverage.is_complete());
            if ready {
                break;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        ensure(ready, &format!("{service} answers with full coverage"))?;
    }
    Ok(())
}

async fn run_queries(
    world: &DemoWorld,
    address: &str,
    losses: &mut u64,
) -> Result<(), CommandError> {
    for service in DEMO_SERVICES {
        for _ in 0..QUERIES_PER_SERVICE {
            let answer = query_after_losses(world, address, service, losses).await?;
            println!(
                "{service}: request {} snapshot {} version {} coverage {}/{} hits {}",
                answer.request_id,
                answer.snapshot,
                answer.version,
                answer.coverage.answered,
                answer.coverage.total,
                answer.hits.len()
            );
            ensure(answer.coverage.is_complete(), "every shard has answered")?;
        }
    }
    Ok(())
}

/// Queries a service, and once more if nodes have given up their shares of targets since `losses` were
/// counted.
///
/// A pause of the process of more than 1.4 s, as on a machine that is busy after a build, makes all nodes
/// give up their shares. Nothing answers until they have agreed on them again, which takes 5 s.
async fn query_after_losses(
    world: &DemoWorld,
    address: &str,
    service: &str,
    losses: &mut u64,
) -> Result<QueryAnswer, CommandError> {
    let result = query(address, service).await;
    if matches!(&result, Ok(answer) if answer.coverage.is_complete()) {
        return result;
    }
    let losses_before = std::mem::replace(losses, count_share_losses(world).await?);
    if *losses == losses_before {
        return result;
    }
    println!("the nodes had to give up their shares of targets; waiting until they serve again");
    wait_for_services(address).await?;
    query(address, service).await
}

/// Number of times that the nodes have given up their shares of targets.
async fn count_share_losses(world: &DemoWorld) -> Result<u64, CommandError> {
    let mut losses = 0;
    for node in &world.nodes {
        let client = OperatorClient::new(&node.operator_address().to_string(), DEMO_TOKEN);
        let status = client.get("/v1/status").await?;
        losses += status["share_losses"].as_u64().unwrap_or_default();
    }
    Ok(losses)
}

async fn query(address: &str, service: &str) -> Result<QueryAnswer, CommandError> {
    let request = QueryRequest {
        route: "search".into(),
        query: "bronze plate".into(),
        k: 5,
        deadline_ms: None,
    };
    let url = format!("http://{address}/v1/services/{service}/query");
    send_request(reqwest::Client::new().post(url).json(&request)).await
}

async fn run_repeated_order(world: &DemoWorld, address: &str) -> Result<(), CommandError> {
    let service = DEMO_SERVICES[1];
    let order = OrderRequest {
        route: "search".into(),
        body: "engrave plate 7".into(),
        issued_at: SystemTime::now(),
    };
    let url = format!("http://{address}/v1/services/{service}/orders");
    for _ in 0..2 {
        let request = reqwest::Client::new().post(&url).json(&order);
        let answer: OrderAnswer =
            send_request(request.header(IDEMPOTENCY_KEY_HEADER, "demo-order-1")).await?;
        println!(
            "order {}: {} (repeated: {})",
            answer.key, answer.result, answer.repeated
        );
    }
    let run_count: u64 = world
        .searchers
        .iter()
        .map(|searcher| count_order_runs(&searcher.standin))
        .sum();
    println!("the order ran {run_count} time(s)");
    ensure(run_count == 1, "an order sent twice runs once")
}

async fn send_request<T: DeserializeOwned>(
    request: reqwest::RequestBuilder,
) -> Result<T, CommandError> {
    read_answer(request.send().await?).await
}

fn ensure(condition: bool, expectation: &str) -> Result<(), CommandError> {
    if condition {
        Ok(())
    } else {
        Err(CommandError::DemoFailed(expectation.into()))
    }
}

fn count_order_runs(standin: &nutmegspread_standin::searcher::SearcherStandin) -> u64 {
    standin
        .counters()
        .executions
        .values()
        .map(|count| u64::from(*count))
        .sum()
}

fn count_started_searches(world: &DemoWorld, domain: &str) -> u64 {
    let searchers = world
        .searchers
        .iter()
        .filter(|searcher| searcher.domain == domain);
    searchers
        .map(|searcher| searcher.standin.counters().started)
        .sum()
}
