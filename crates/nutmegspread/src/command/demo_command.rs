//! `demo`: the whole path in one process, with each claim checked.

use super::demo_world::{DEMO_DOMAINS, DEMO_SERVICES, DEMO_TOKEN, DemoWorld, NODES};
use super::operator_client::{OperatorClient, read_answer};
use super::operator_command::wait_in_force;
use crate::command_error::CommandError;
use nutmegspread_model::{
    AddressAnswer, OrderAnswer, OrderRequest, QueryAnswer, QueryRequest, ServingState,
};
use nutmegspread_node::start_logging;
use nutmegspread_wire::target::IDEMPOTENCY_KEY_HEADER;
use serde::de::DeserializeOwned;
use std::time::{Duration, SystemTime};

const QUERIES: u32 = 5;
const READY_TRIES: u32 = 200;
const READY_POLL: Duration = Duration::from_millis(50);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Runs the demo.
///
/// # Errors
/// When anything that the demo claims does not hold.
pub fn demo() -> Result<(), CommandError> {
    start_logging("warn")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let world = DemoWorld::start().await?;
        let ending = show(&world).await;
        let in_time = world.close().await;
        ending?;
        claim(in_time, "planned stops cut no request")?;
        println!("done: every claim held");
        Ok(())
    })
}

async fn show(world: &DemoWorld) -> Result<(), CommandError> {
    let operators = OperatorClient::new(&world.nodes[0].operator_address().to_string(), DEMO_TOKEN);
    let mut document = world.document();
    let revision = operators.apply(&document, 0).await?;
    println!("applied the configuration as revision {revision}");
    wait_in_force(&operators, revision, IN_FORCE_LIMIT).await?;
    wait_addresses(world).await?;
    let address = ask_address(world).await?;
    wait_ready(&address).await?;
    show_queries(&address).await?;
    show_order(world, &address).await?;
    let drained = DEMO_DOMAINS[1];
    document.domains.entry(drained.into()).or_default().state = ServingState::Drained;
    let revision = operators.apply(&document, revision).await?;
    println!("draining {drained} with revision {revision}");
    wait_in_force(&operators, revision, IN_FORCE_LIMIT).await?;
    tokio::time::sleep(DRAIN_LIMIT).await;
    let before = started_in(world, drained);
    show_queries(&address).await?;
    let after = started_in(world, drained);
    println!(
        "searches started in {drained} since the drain: {}",
        after - before
    );
    claim(after == before, "a drained domain gets no new work")
}

/// Waits until the nodes know each other.
async fn wait_addresses(world: &DemoWorld) -> Result<(), CommandError> {
    for _ in 0..READY_TRIES {
        if read_addresses(world)
            .await
            .is_ok_and(|answer| answer.addresses.len() == NODES)
        {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL).await;
    }
    claim(false, "every node is offered to callers")
}

async fn read_addresses(world: &DemoWorld) -> Result<AddressAnswer, CommandError> {
    let asked = world.nodes[0].caller_address();
    let url = format!("http://{asked}/v1/addresses?domain={}", DEMO_DOMAINS[0]);
    read(reqwest::Client::new().get(url)).await
}

async fn ask_address(world: &DemoWorld) -> Result<String, CommandError> {
    let answer = read_addresses(world).await?;
    let Some(first) = answer.addresses.first() else {
        return Err(CommandError::DemoFailed("no address was given".into()));
    };
    println!(
        "use {} ({}, {}), {} more to fall back on, keep for {} ms",
        first.address,
        first.node,
        first.domain,
        answer.addresses.len() - 1,
        answer.keep_for.as_millis()
    );
    Ok(first.address.clone())
}

/// Waits until every service answers with full coverage.
async fn wait_ready(address: &str) -> Result<(), CommandError> {
    for service in DEMO_SERVICES {
        let mut ready = false;
        for _ in 0..READY_TRIES {
            ready = query(address, service)
                .await
                .is_ok_and(|answer| answer.coverage.is_complete());
            if ready {
                break;
            }
            tokio::time::sleep(READY_POLL).await;
        }
        claim(ready, &format!("{service} becomes ready"))?;
    }
    Ok(())
}

async fn show_queries(address: &str) -> Result<(), CommandError> {
    for service in DEMO_SERVICES {
        for _ in 0..QUERIES {
            let answer = query(address, service).await?;
            println!(
                "{service}: request {} snapshot {} version {} coverage {}/{} hits {}",
                answer.request_id,
                answer.snapshot,
                answer.version,
                answer.coverage.answered,
                answer.coverage.total,
                answer.hits.len()
            );
            claim(answer.coverage.is_complete(), "every shard is covered")?;
        }
    }
    Ok(())
}

async fn query(address: &str, service: &str) -> Result<QueryAnswer, CommandError> {
    let request = QueryRequest {
        route: "search".into(),
        query: "bronze plate".into(),
        k: 5,
        deadline_ms: None,
    };
    let url = format!("http://{address}/v1/services/{service}/query");
    read(reqwest::Client::new().post(url).json(&request)).await
}

async fn show_order(world: &DemoWorld, address: &str) -> Result<(), CommandError> {
    let service = DEMO_SERVICES[1];
    let request = OrderRequest {
        route: "search".into(),
        body: "engrave plate 7".into(),
        issued_at: SystemTime::now(),
    };
    let url = format!("http://{address}/v1/services/{service}/orders");
    for _ in 0..2 {
        let call = reqwest::Client::new().post(&url).json(&request);
        let answer: OrderAnswer = read(call.header(IDEMPOTENCY_KEY_HEADER, "demo-order-1")).await?;
        println!(
            "order {}: {} (repeated: {})",
            answer.key, answer.result, answer.repeated
        );
    }
    let runs: u64 = world
        .searchers
        .iter()
        .map(|searcher| order_runs(&searcher.standin))
        .sum();
    println!("the order ran {runs} time(s)");
    claim(runs == 1, "an order sent twice runs once")
}

async fn read<T: DeserializeOwned>(call: reqwest::RequestBuilder) -> Result<T, CommandError> {
    read_answer(call.send().await?).await
}

fn claim(holds: bool, text: &str) -> Result<(), CommandError> {
    if holds {
        Ok(())
    } else {
        Err(CommandError::DemoFailed(text.into()))
    }
}

fn order_runs(standin: &nutmegspread_standin::searcher::SearcherStandin) -> u64 {
    standin
        .counters()
        .executions
        .values()
        .map(|runs| u64::from(*runs))
        .sum()
}

fn started_in(world: &DemoWorld, domain: &str) -> u64 {
    let searchers = world
        .searchers
        .iter()
        .filter(|searcher| searcher.domain == domain);
    searchers
        .map(|searcher| searcher.standin.counters().started)
        .sum()
}
