//! `standin-platform` and `standin-searcher`: run stand-ins in a process of their own.

use super::configuration_command::read_document;
use super::stop_signal::wait_for_stop_signal;
use crate::command_error::CommandError;
use crate::flags::{StandinPlatform, StandinSearcher};
use nutmegspread_model::{
    ConfigurationDocument, ObjectMetadata, PlatformObject, ShardPlacement, SnapshotMap, TargetId,
    TargetSettings,
};
use nutmegspread_standin::platform::{PlatformStandin, PlatformStandinSettings};
use nutmegspread_standin::searcher::{SearcherSettings, SearcherStandin};
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformSettings};

const FIRST_SNAPSHOT: u64 = 1;
const REPLICAS_PER_SHARD: usize = 2;

/// Runs a stand-in for the platform until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// When the stand-in cannot listen on its address, the configuration document is invalid, or a
/// snapshot map cannot be stored.
pub fn standin_platform(flags: &StandinPlatform) -> Result<(), CommandError> {
    let document = flags.maps_for.as_deref().map(read_document).transpose()?;
    block_on(async {
        let settings = PlatformStandinSettings {
            listen: flags.listen.clone(),
            ..PlatformStandinSettings::default()
        };
        let standin = PlatformStandin::start(settings)
            .await
            .map_err(standin_error)?;
        let address = standin.address().to_string();
        if let Some(document) = document {
            store_snapshot_maps(&address, &document).await?;
        }
        println!("platform stand-in listens on {address}");
        wait_for_stop_signal().await?;
        standin.close().await;
        Ok(())
    })
}

/// Runs a searcher stand-in for each target of a configuration document until the process receives
/// SIGTERM or SIGINT.
///
/// # Errors
/// When a stand-in cannot listen on its address or the configuration document is invalid.
pub fn standin_searcher(flags: &StandinSearcher) -> Result<(), CommandError> {
    let document = read_document(&flags.configuration)?;
    block_on(async {
        let mut standins = Vec::new();
        for target in document.targets.values() {
            let settings = searcher_settings(&document, target);
            standins.push(
                SearcherStandin::start(settings)
                    .await
                    .map_err(standin_error)?,
            );
        }
        println!("{} searcher stand-ins listen", standins.len());
        wait_for_stop_signal().await?;
        for standin in standins {
            standin.close().await;
        }
        Ok(())
    })
}

fn searcher_settings(
    document: &ConfigurationDocument,
    target: &TargetSettings,
) -> SearcherSettings {
    let service = document
        .services
        .get(&target.service)
        .cloned()
        .unwrap_or_default();
    let limits = target.limits.clone().unwrap_or(service.limits);
    SearcherSettings {
        listen: target.address.clone(),
        service: target.service.clone(),
        version: target.version.clone(),
        slots: limits.slots,
        connections: limits.connections,
        connection_cost: limits.connection_cost,
        cold_slots: limits.cold_slots,
        warm_after: limits.warm_after,
        ..SearcherSettings::default()
    }
}

/// Stores the first snapshot map of each version of a service that has targets.
pub async fn store_snapshot_maps(
    platform: &str,
    document: &ConfigurationDocument,
) -> Result<(), CommandError> {
    let settings = PlatformSettings {
        address: platform.into(),
        ..PlatformSettings::default()
    };
    let client = PlatformClient::new(settings).map_err(standin_error)?;
    for map in build_snapshot_maps(document) {
        let object = PlatformObject {
            kind: ObjectKind::SnapshotMap.as_str().into(),
            metadata: ObjectMetadata {
                name: SnapshotMap::object_name(&map.service, &map.version),
                ..ObjectMetadata::default()
            },
            spec: map,
            status: serde_json::Value::Null,
        };
        client
            .create(ObjectKind::SnapshotMap, &object)
            .await
            .map_err(standin_error)?;
    }
    Ok(())
}

/// Builds a snapshot map for each version of a service that has targets.
///
/// A map has as many shards as the version has targets. The replicas of a shard are placed on targets
/// as far apart in the document as possible.
fn build_snapshot_maps(document: &ConfigurationDocument) -> Vec<SnapshotMap> {
    let mut targets_by_version: indexmap::IndexMap<(_, _), Vec<TargetId>> =
        indexmap::IndexMap::new();
    for (id, target) in &document.targets {
        let version_key = (target.service.clone(), target.version.clone());
        targets_by_version
            .entry(version_key)
            .or_default()
            .push(id.clone());
    }
    targets_by_version
        .into_iter()
        .map(|((service, version), ids)| SnapshotMap {
            service,
            version,
            snapshot: FIRST_SNAPSHOT,
            shards: (0..ids.len())
                .map(|shard| place_shard(&ids, shard))
                .collect(),
        })
        .collect()
}

fn place_shard(ids: &[TargetId], shard: usize) -> ShardPlacement {
    let replicas = REPLICAS_PER_SHARD.min(ids.len());
    let step = ids.len() / replicas;
    let choose_replica = |index: usize| ids[(shard + index * step) % ids.len()].clone();
    ShardPlacement {
        replicas: (0..replicas).map(choose_replica).collect(),
    }
}

fn block_on<T>(future: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(future)
}

/// Converts an error of a stand-in or of its client into a [`CommandError`].
pub fn standin_error(error: impl std::fmt::Display) -> CommandError {
    CommandError::Standin(error.to_string())
}
