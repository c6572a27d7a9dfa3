//! A caller of the nodes: asks for addresses, keeps the answer for its time and sends queries.

use super::answer_check::check_answer;
use super::query_outcome::{QueryEnding, QueryOutcome};
use indexmap::IndexMap;
use nutmegspread_model::{
    AddressAnswer, DomainName, OrderAnswer, OrderRequest, QueryAnswer, QueryRequest, RefusalBody,
    ServiceName, SnapshotMap, VersionName,
};
use serde::Serialize;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// Most addresses that one request tries.
const MAX_TRIES: usize = 3;
/// Time for which a fixed address is kept.
const FIXED_TIME: Duration = Duration::from_secs(3600);
/// Longest time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What a caller knows.
#[derive(Clone, Debug, Default)]
pub struct CallerSettings {
    /// Addresses of nodes that it asks first.
    pub seeds: Vec<String>,
    /// Failure domain that it states.
    pub domain: Option<DomainName>,
    /// Longest time of one request.
    pub timeout: Duration,
    /// Snapshot maps of each version, to check answers.
    pub maps: IndexMap<VersionName, SnapshotMap>,
}

/// One caller with connections of its own.
pub struct NodeCaller {
    settings: CallerSettings,
    http: reqwest::Client,
    kept: Mutex<KeptAddresses>,
}

struct KeptAddresses {
    addresses: Vec<String>,
    until: Instant,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEnding {
    /// It ran, with this result.
    Answered(OrderAnswer),
    /// It was refused.
    Refused(RefusalBody),
    /// No answer and no refusal.
    Failed(String),
}

impl NodeCaller {
    /// A caller that has asked nobody yet.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn new(settings: CallerSettings) -> reqwest::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .http1_only()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(settings.timeout)
            .build()?;
        let kept = KeptAddresses {
            addresses: settings.seeds.clone(),
            until: Instant::now(),
        };
        Ok(Self {
            settings,
            http,
            kept: Mutex::new(kept),
        })
    }

    /// A caller that uses one address and never asks for others.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn fixed(address: &str, settings: CallerSettings) -> reqwest::Result<Self> {
        let mut caller = Self::new(settings)?;
        let kept = caller.kept.get_mut();
        kept.addresses = vec![address.to_owned()];
        kept.until += FIXED_TIME;
        Ok(caller)
    }

    /// Sends a query; `start` is when it was due.
    pub async fn query(
        &self,
        service: &ServiceName,
        request: QueryRequest,
        due: Duration,
        start: Instant,
    ) -> QueryOutcome {
        let path = format!("/v1/services/{service}/query");
        let sent = Instant::now();
        let response = self.post(&path, &request, None).await;
        let outcome = match response {
            Ok(response) if response.status().is_success() => {
                self.read_answer(&request, response).await
            }
            Ok(response) => read_refusal(response).await,
            Err(error) => failed(&error),
        };
        let latency = start.elapsed();
        QueryOutcome {
            due,
            latency,
            service_time: sent.elapsed(),
            ..outcome
        }
    }

    /// Sends an order under a key.
    pub async fn order(&self, service: &str, key: &str, request: &OrderRequest) -> OrderEnding {
        let path = format!("/v1/services/{service}/orders");
        let response = match self.post(&path, request, Some(key)).await {
            Ok(response) => response,
            Err(error) => return OrderEnding::Failed(error.to_string()),
        };
        let is_success = response.status().is_success();
        let status = response.status();
        let body = response.bytes().await.unwrap_or_default();
        let ending = if is_success {
            serde_json::from_slice(&body).map(OrderEnding::Answered)
        } else {
            serde_json::from_slice(&body).map(OrderEnding::Refused)
        };
        ending.unwrap_or_else(|error| OrderEnding::Failed(format!("{status}: {error}")))
    }

    /// Tries the kept addresses in order, going on only where no connection could be opened.
    async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
        key: Option<&str>,
    ) -> reqwest::Result<reqwest::Response> {
        let addresses = self.addresses().await;
        let mut tries = addresses.iter().take(MAX_TRIES).peekable();
        loop {
            let address = tries.next().map_or("127.0.0.1:0", String::as_str);
            let mut request = self.http.post(format!("http://{address}{path}")).json(body);
            if let Some(key) = key {
                request = request.header("idempotency-key", key);
            }
            match request.send().await {
                Err(error) if error.is_connect() && tries.peek().is_some() => {}
                ended => return ended,
            }
        }
    }

    async fn addresses(&self) -> Vec<String> {
        let mut kept = self.kept.lock().await;
        if Instant::now() >= kept.until
            && let Some(answer) = self.ask_addresses(&kept.addresses).await
        {
            kept.until = Instant::now() + answer.keep_for;
            kept.addresses = answer
                .addresses
                .into_iter()
                .map(|node| node.address)
                .collect();
        }
        kept.addresses.clone()
    }

    async fn ask_addresses(&self, known: &[String]) -> Option<AddressAnswer> {
        let domain = self.settings.domain.as_deref();
        let question = domain.map_or_else(String::new, |domain| format!("?domain={domain}"));
        for address in known.iter().chain(&self.settings.seeds) {
            let url = format!("http://{address}/v1/addresses{question}");
            let Ok(response) = self.http.get(url).send().await else {
                continue;
            };
            let answer = response.json::<AddressAnswer>().await;
            if let Some(answer) = answer.ok().filter(|answer| !answer.addresses.is_empty()) {
                return Some(answer);
            }
        }
        None
    }

    async fn read_answer(
        &self,
        request: &QueryRequest,
        response: reqwest::Response,
    ) -> QueryOutcome {
        let answer: QueryAnswer = match response.json().await {
            Ok(answer) => answer,
            Err(error) => return failed(&error),
        };
        let check = match self.settings.maps.get(&answer.version) {
            Some(map) => check_answer(request, &answer, map).map_err(|fault| fault.to_string()),
            None => Err(format!("unknown version {}", answer.version)),
        };
        let ending = match answer.coverage.is_complete() {
            true => QueryEnding::Complete,
            false => QueryEnding::Partial,
        };
        QueryOutcome {
            ending,
            coverage: answer.coverage.fraction(),
            request_id: Some(answer.request_id),
            version: Some(answer.version.to_string()),
            faults: check.err().into_iter().collect(),
            ..empty_outcome()
        }
    }
}

async fn read_refusal(response: reqwest::Response) -> QueryOutcome {
    match response.json::<RefusalBody>().await {
        Ok(refusal) => QueryOutcome {
            ending: QueryEnding::Refused(refusal.run),
            request_id: Some(refusal.request_id),
            ..empty_outcome()
        },
        Err(error) => failed(&error),
    }
}

fn failed(error: &reqwest::Error) -> QueryOutcome {
    let cause = std::error::Error::source(error)
        .map(ToString::to_string)
        .unwrap_or_default();
    QueryOutcome::failed(Duration::ZERO, Duration::ZERO, format!("{error}: {cause}"))
}

fn empty_outcome() -> QueryOutcome {
    QueryOutcome::failed(Duration::ZERO, Duration::ZERO, String::new())
}
