//! The platform stand-in and the operator's side of a load run against nodes.

use super::deployment_plan::DeploymentPlan;
use super::load_error::LoadError;
use super::load_settings::LoadSettings;
use super::searcher_fleet::SearcherFleet;
use crate::platform::{PlatformFaults, PlatformStandin, PlatformStandinSettings};
use nutmegspread_model::{
    ConfigurationDocument, HealthVerdict, ObjectMetadata, PlatformObject, SnapshotMap,
    VerdictRecord,
};
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformSettings};
use reqwest::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep};

/// Most attempts to apply a change over other operators' changes.
const APPLY_ATTEMPTS: u32 = 5;
/// Time between attempts to reach a node that is not ready.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time of one operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Platform and operator of the nodes under load.
pub struct NodeBench {
    platform: PlatformStandin,
    client: PlatformClient,
    http: reqwest::Client,
    operator: String,
    token: String,
}

impl NodeBench {
    /// Starts the platform stand-in, stores the snapshot maps and applies the configuration.
    ///
    /// # Errors
    /// When the platform cannot listen, or no node takes the configuration in time.
    pub async fn start(
        settings: &LoadSettings,
        plan: &DeploymentPlan,
        fleet: &SearcherFleet,
    ) -> Result<Self, LoadError> {
        let listen = settings.platform_listen.clone();
        let platform = PlatformStandin::start(PlatformStandinSettings {
            listen,
            ..Default::default()
        })
        .await?;
        let address = platform.address().to_string();
        let client = PlatformClient::new(PlatformSettings {
            address,
            ..Default::default()
        })?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()?;
        let operator = settings.operator.clone();
        let token = settings.operator_token.clone();
        let bench = Self {
            platform,
            client,
            http,
            operator,
            token,
        };
        bench.store_maps(plan).await?;
        bench.apply_first(plan, fleet, settings.ready_limit).await?;
        Ok(bench)
    }

    /// Fault switches of the platform.
    pub fn platform_faults(&self) -> PlatformFaults {
        self.platform.faults()
    }

    /// Applies a change to the configuration and returns when it was accepted.
    ///
    /// # Errors
    /// When the node cannot be reached or refuses the document.
    pub async fn apply(
        &self,
        change: impl Fn(&mut ConfigurationDocument),
    ) -> Result<SystemTime, LoadError> {
        let mut refusal = String::new();
        for _ in 0..APPLY_ATTEMPTS {
            let mut document = self.configuration().await?;
            let base = document.revision;
            change(&mut document);
            match self.put_configuration(&document, base).await? {
                Ok(()) => return Ok(SystemTime::now()),
                Err(answer) => refusal = answer,
            }
            sleep(RETRY_INTERVAL).await;
        }
        Err(LoadError::Refused {
            address: self.operator.clone(),
            answer: refusal,
        })
    }

    /// Stores a verdict of the monitoring group.
    ///
    /// # Errors
    /// When the platform refuses it.
    pub async fn store_verdict(
        &self,
        subject: &str,
        verdict: HealthVerdict,
        sequence: u64,
    ) -> Result<(), LoadError> {
        let subject = subject.to_owned();
        let name = subject.replace('/', ".");
        let record = VerdictRecord {
            subject,
            verdict,
            sequence,
            decided_at: SystemTime::now(),
        };
        self.store(ObjectKind::Verdict, &name, record).await
    }

    /// Stops the platform stand-in.
    pub async fn close(self) {
        self.platform.close().await;
    }

    async fn store_maps(&self, plan: &DeploymentPlan) -> Result<(), LoadError> {
        for service in &plan.services {
            for version in &service.versions {
                let map = service.snapshot_map(version, &plan.domains);
                let name = SnapshotMap::object_name(&map.service, &map.version);
                self.store(ObjectKind::SnapshotMap, &name, map).await?;
            }
        }
        Ok(())
    }

    async fn store<T>(&self, kind: ObjectKind, name: &str, spec: T) -> Result<(), LoadError>
    where
        T: Serialize + DeserializeOwned,
    {
        let known = self.client.fetch::<serde_json::Value>(kind, name).await?;
        let resource_version = known.and_then(|object| object.metadata.resource_version);
        let metadata = ObjectMetadata {
            name: name.into(),
            resource_version,
            write_token: None,
        };
        let status = serde_json::Value::Null;
        let object = PlatformObject {
            kind: kind.as_str().into(),
            metadata,
            spec,
            status,
        };
        self.client.store(kind, &object).await?;
        Ok(())
    }

    /// Applies the first document as soon as a node listens.
    async fn apply_first(
        &self,
        plan: &DeploymentPlan,
        fleet: &SearcherFleet,
        limit: Duration,
    ) -> Result<(), LoadError> {
        let mut document = plan.document();
        fleet.add_targets(&mut document);
        let give_up = Instant::now() + limit;
        loop {
            let change = |current: &mut ConfigurationDocument| {
                *current = ConfigurationDocument {
                    revision: current.revision,
                    ..document.clone()
                };
            };
            let Err(error) = self.apply(change).await else {
                return Ok(());
            };
            if Instant::now() >= give_up {
                return Err(error);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    async fn configuration(&self) -> Result<ConfigurationDocument, LoadError> {
        let url = format!("http://{}/v1/configuration", self.operator);
        let response = self.http.get(url).bearer_auth(&self.token).send().await?;
        let document: Option<ConfigurationDocument> = response.error_for_status()?.json().await?;
        Ok(document.unwrap_or_default())
    }

    async fn put_configuration(
        &self,
        document: &ConfigurationDocument,
        base: u64,
    ) -> Result<Result<(), String>, LoadError> {
        let url = format!("http://{}/v1/configuration?base={base}", self.operator);
        let request = self.http.put(url).bearer_auth(&self.token).json(document);
        let response = request.send().await?;
        if response.status() == StatusCode::OK {
            return Ok(Ok(()));
        }
        let status = response.status();
        Ok(Err(format!("{status} {}", response.text().await?)))
    }
}
