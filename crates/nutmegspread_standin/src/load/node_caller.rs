//! A caller of the nodes: resolves their addresses, caches them as long as the answer allows, and
//! sends queries and orders.

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

/// Maximum number of addresses to which one request tries to connect.
const MAX_ADDRESSES: usize = 3;
/// Time for which a fixed address stays cached; longer than any use of such a caller.
const FIXED_ADDRESS_TIME: Duration = Duration::from_secs(3600);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings of a caller.
#[derive(Clone, Debug, Default)]
pub struct CallerSettings {
    /// Addresses of nodes that receive address requests at the start, and later whenever no
    /// cached node gives addresses.
    pub seeds: Vec<String>,
    /// Failure domain that the caller states in address requests.
    pub domain: Option<DomainName>,
    /// Timeout of one request.
    pub timeout: Duration,
    /// Snapshot map of each version, against which answers are checked.
    pub maps: IndexMap<VersionName, SnapshotMap>,
}

/// A caller with its own connections and address cache.
pub struct NodeCaller {
    settings: CallerSettings,
    http: reqwest::Client,
    cache: Mutex<AddressCache>,
}

struct AddressCache {
    addresses: Vec<String>,
    expires_at: Instant,
}

/// How an order ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEnding {
    /// The order ran and gave this answer.
    Answered(OrderAnswer),
    /// The node refused the order.
    Refused(RefusalBody),
    /// Neither an answer nor a refusal was received, for this reason.
    Failed(String),
}

impl NodeCaller {
    /// Creates a caller, which requests addresses when it sends its first query or order.
    ///
    /// # Errors
    /// When the HTTP client cannot be set up.
    pub fn new(settings: CallerSettings) -> reqwest::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .http1_only()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(settings.timeout)
            .build()?;
        let cache = AddressCache {
            addresses: settings.seeds.clone(),
            expires_at: Instant::now(),
        };
        Ok(Self {
            settings,
            http,
            cache: Mutex::new(cache),
        })
    }

    /// Creates a caller that sends everything to one address and requests no others.
    ///
    /// # Errors
    /// When the HTTP client cannot be set up.
    pub fn with_fixed_address(address: &str, settings: CallerSettings) -> reqwest::Result<Self> {
        let mut caller = Self::new(settings)?;
        let cache = caller.cache.get_mut();
        cache.addresses = vec![address.to_owned()];
        cache.expires_at += FIXED_ADDRESS_TIME;
        Ok(caller)
    }

    /// Sends a query, which was due at `start`, and checks the answer.
    ///
    /// `due` is the same time as an offset from the start of the case.
    pub async fn query(
        &self,
        service: &ServiceName,
        request: QueryRequest,
        due: Duration,
        start: Instant,
    ) -> QueryOutcome {
        let path = format!("/v1/services/{service}/query");
        let sent_at = Instant::now();
        let response = self.post(&path, &request, None).await;
        let outcome = match response {
            Ok(response) if response.status().is_success() => {
                self.read_answer(&request, response).await
            }
            Ok(response) => read_refusal(response).await,
            Err(error) => failed_outcome(&error),
        };
        let latency = start.elapsed();
        QueryOutcome {
            due,
            latency,
            service_time: sent_at.elapsed(),
            ..outcome
        }
    }

    /// Sends an order with an idempotency key.
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

    /// Sends a request to the first cached address to which a connection can be opened.
    ///
    /// An error after the connection has opened is returned at once.
    async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
        key: Option<&str>,
    ) -> reqwest::Result<reqwest::Response> {
        let addresses = self.addresses().await;
        let mut candidates = addresses.iter().take(MAX_ADDRESSES).peekable();
        loop {
            let address = candidates.next().map_or("127.0.0.1:0", String::as_str);
            let mut request = self.http.post(format!("http://{address}{path}")).json(body);
            if let Some(key) = key {
                request = request.header("idempotency-key", key);
            }
            match request.send().await {
                Err(error) if error.is_connect() && candidates.peek().is_some() => {}
                result => return result,
            }
        }
    }

    async fn addresses(&self) -> Vec<String> {
        let mut cache = self.cache.lock().await;
        if Instant::now() >= cache.expires_at
            && let Some(answer) = self.request_addresses(&cache.addresses).await
        {
            cache.expires_at = Instant::now() + answer.keep_for;
            cache.addresses = answer
                .addresses
                .into_iter()
                .map(|node| node.address)
                .collect();
        }
        cache.addresses.clone()
    }

    async fn request_addresses(&self, known_addresses: &[String]) -> Option<AddressAnswer> {
        let domain = self.settings.domain.as_deref();
        let url_query = domain.map_or_else(String::new, |domain| format!("?domain={domain}"));
        for address in known_addresses.iter().chain(&self.settings.seeds) {
            let url = format!("http://{address}/v1/addresses{url_query}");
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
            Err(error) => return failed_outcome(&error),
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
        Err(error) => failed_outcome(&error),
    }
}

fn failed_outcome(error: &reqwest::Error) -> QueryOutcome {
    let cause = std::error::Error::source(error)
        .map(ToString::to_string)
        .unwrap_or_default();
    QueryOutcome::failed(Duration::ZERO, Duration::ZERO, format!("{error}: {cause}"))
}

fn empty_outcome() -> QueryOutcome {
    QueryOutcome::failed(Duration::ZERO, Duration::ZERO, String::new())
}
