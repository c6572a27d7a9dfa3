//! `standin-platform` and `standin-searcher`: stand-ins as processes of their own.

use super::configuration_command::read_document;
use super::stop_signal::wait_for_stop;
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
const REPLICAS: usize = 2;

/// Runs a stand-in of the platform's service until told to stop.
///
/// # Errors
/// When the address cannot be listened on or a configuration is not acceptable.
pub fn standin_platform(flags: &StandinPlatform) -> Result<(), CommandError> {
    let document = flags.maps_for.as_deref().map(read_document).transpose()?;
    run(async {
        let settings = PlatformStandinSettings {
            listen: flags.listen.clone(),
            ..PlatformStandinSettings::default()
        };
        let standin = PlatformStandin::start(settings)
            .await
            .map_err(standin_error)?;
        let address = standin.address().to_string();
        if let Some(document) = document {
            store_maps(&address, &document).await?;
        }
        println!("platform stand-in listens on {address}");
        wait_for_stop().await?;
        standin.close().await;
        Ok(())
    })
}

/// Runs a searcher stand-in for every target of a configuration until told to stop.
///
/// # Errors
/// When an address cannot be listened on or the configuration is not acceptable.
pub fn standin_searcher(flags: &StandinSearcher) -> Result<(), CommandError> {
    let document = read_document(&flags.configuration)?;
    run(async {
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
        wait_for_stop().await?;
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

/// Stores a first snapshot map for each version that has targets.
pub async fn store_maps(
    platform: &str,
    document: &ConfigurationDocument,
) -> Result<(), CommandError> {
    let settings = PlatformSettings {
        address: platform.into(),
        ..PlatformSettings::default()
    };
    let client = PlatformClient::new(settings).map_err(standin_error)?;
    for map in build_maps(document) {
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

/// One shard a target, with replicas as far apart in the document as they can be.
fn build_maps(document: &ConfigurationDocument) -> Vec<SnapshotMap> {
    let mut groups: indexmap::IndexMap<(_, _), Vec<TargetId>> = indexmap::IndexMap::new();
    for (id, target) in &document.targets {
        let group = (target.service.clone(), target.version.clone());
        groups.entry(group).or_default().push(id.clone());
    }
    groups
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
    let replicas = REPLICAS.min(ids.len());
    let step = ids.len() / replicas;
    let replica = |number: usize| ids[(shard + number * step) % ids.len()].clone();
    ShardPlacement {
        replicas: (0..replicas).map(replica).collect(),
    }
}

fn run<T>(work: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(work)
}

/// Turns an error of a stand-in into one of a command.
pub fn standin_error(error: impl std::fmt::Display) -> CommandError {
    CommandError::Standin(error.to_string())
}
