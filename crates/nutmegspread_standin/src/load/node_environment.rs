//! The platform stand-in and the operators' client for a load run against nodes.

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

/// Maximum number of calls to apply a change.
///
/// A node refuses the document if another operator has changed the configuration since it was
/// read.
const MAX_APPLY_CALLS: u32 = 5;
/// Time between two calls to apply a change.
const APPLY_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one operators' call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Platform stand-in and operators' client of the nodes under load.
pub struct NodeEnvironment {
    platform: PlatformStandin,
    client: PlatformClient,
    http: reqwest::Client,
    operator: String,
    token: String,
}

impl NodeEnvironment {
    /// Starts the platform stand-in, stores the snapshot maps and applies the configuration.
    ///
    /// # Errors
    /// When the platform stand-in cannot listen or store the maps, or the node at the operators'
    /// address does not accept the configuration in time.
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
        let environment = Self {
            platform,
            client,
            http,
            operator,
            token,
        };
        environment.store_maps(plan).await?;
        environment
            .apply_first(plan, fleet, settings.ready_limit)
            .await?;
        Ok(environment)
    }

    /// Fault settings of the platform stand-in.
    pub fn platform_faults(&self) -> PlatformFaults {
        self.platform.faults()
    }

    /// Applies a change to the configuration and returns the time at which the node accepted it.
    ///
    /// If the node refuses the document, the change is applied again to the current one.
    ///
    /// # Errors
    /// When a call fails, or the node has refused the document `MAX_APPLY_CALLS` times.
    pub async fn apply(
        &self,
        change: impl Fn(&mut ConfigurationDocument),
    ) -> Result<SystemTime, LoadError> {
        let mut refusal = String::new();
        for _ in 0..MAX_APPLY_CALLS {
            let mut document = self.configuration().await?;
            let base = document.revision;
            change(&mut document);
            match self.put_configuration(&document, base).await? {
                Ok(()) => return Ok(SystemTime::now()),
                Err(answer) => refusal = answer,
            }
            sleep(APPLY_INTERVAL).await;
        }
        Err(LoadError::Refused {
            address: self.operator.clone(),
            answer: refusal,
        })
    }

    /// Stores a verdict in the name of the monitoring group.
    ///
    /// # Errors
    /// When the call to the platform stand-in fails or is refused.
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
        let stored = self.client.fetch::<serde_json::Value>(kind, name).await?;
        let resource_version = stored.and_then(|object| object.metadata.resource_version);
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

    /// Applies the first document; repeats failed calls until `limit` has passed.
    async fn apply_first(
        &self,
        plan: &DeploymentPlan,
        fleet: &SearcherFleet,
        limit: Duration,
    ) -> Result<(), LoadError> {
        let mut document = plan.document();
        fleet.add_targets(&mut document);
        let give_up_at = Instant::now() + limit;
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
            if Instant::now() >= give_up_at {
                return Err(error);
            }
            sleep(APPLY_INTERVAL).await;
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
