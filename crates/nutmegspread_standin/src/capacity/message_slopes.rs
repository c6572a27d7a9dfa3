//! Measures the size and the encoding time of the messages that a query needs.

use super::call_timer::call_micros;
use super::wire_codec::{encode, round_trip};
use super::{CapacityError, SlopeSeries};
use crate::searcher::shard_hits;
use nutmegspread_model::{
    SearchHit, SearchReply, SearchRequest, ShardId, SubOutcome, SubSearch, TargetState,
};

/// Numbers of sub-requests in one batched message.
const BATCH_SIZES: [u32; 5] = [1, 8, 32, 128, 480];
/// Numbers of hits in one reply of a target.
const HIT_COUNTS: [u32; 5] = [1, 5, 10, 20, 50];
/// Number of hits in each reply of a batch.
const BATCH_HITS: u32 = 10;
/// Number of documents in the shard from which the hits are taken.
const DOCUMENTS: u32 = 64;

/// Measures the batched messages between nodes and the JSON messages between a node and a target.
///
/// # Errors
/// When a message cannot be encoded.
pub fn message_slopes() -> Result<Vec<SlopeSeries>, CapacityError> {
    Ok(vec![
        batch_bytes("sub-search-bytes", sub_search)?,
        batch_bytes("sub-outcome-bytes", sub_outcome)?,
        batch_time("sub-search-time", sub_search)?,
        batch_time("sub-outcome-time", sub_outcome)?,
        target_json_bytes()?,
        target_json_time()?,
    ])
}

fn batch_bytes<T: serde::Serialize>(
    name: &'static str,
    make: impl Fn(ShardId) -> T,
) -> Result<SlopeSeries, CapacityError> {
    let mut points = Vec::new();
    for size in BATCH_SIZES {
        let batch: Vec<T> = (0..size).map(&make).collect();
        points.push((f64::from(size), encode(name, &batch)?.len() as f64));
    }
    Ok(SlopeSeries {
        name,
        size: "sub-requests in a message",
        cost: "bytes",
        points,
    })
}

fn batch_time<T: serde::Serialize + serde::de::DeserializeOwned>(
    name: &'static str,
    make: impl Fn(ShardId) -> T,
) -> Result<SlopeSeries, CapacityError> {
    let mut points = Vec::new();
    for size in BATCH_SIZES {
        let batch: Vec<T> = (0..size).map(&make).collect();
        round_trip(name, &batch)?;
        points.push((
            f64::from(size),
            call_micros(|| round_trip(name, &batch).is_ok()),
        ));
    }
    let cost = "µs to encode and decode";
    Ok(SlopeSeries {
        name,
        size: "sub-requests in a message",
        cost,
        points,
    })
}

fn target_json_bytes() -> Result<SlopeSeries, CapacityError> {
    let mut points = Vec::new();
    for hits in HIT_COUNTS {
        let request = to_json(&search_request(0, hits))?;
        let reply = to_json(&search_reply(0, hits))?;
        points.push((f64::from(hits), (request.len() + reply.len()) as f64));
    }
    let cost = "bytes of both JSON bodies";
    Ok(SlopeSeries {
        name: "target-json-bytes",
        size: "hits in a reply",
        cost,
        points,
    })
}

fn target_json_time() -> Result<SlopeSeries, CapacityError> {
    let mut points = Vec::new();
    for hits in HIT_COUNTS {
        let request = search_request(0, hits);
        let reply = to_json(&search_reply(0, hits))?;
        let time = call_micros(|| {
            let request = to_json(&request).map(|bytes| bytes.len());
            (
                request.ok(),
                serde_json::from_slice::<SearchReply>(&reply).is_ok(),
            )
        });
        points.push((f64::from(hits), time));
    }
    let cost = "µs to write the request and read the reply";
    Ok(SlopeSeries {
        name: "target-json-time",
        size: "hits in a reply",
        cost,
        points,
    })
}

fn to_json(value: &impl serde::Serialize) -> Result<Vec<u8>, CapacityError> {
    let encoded = serde_json::to_vec(value);
    encoded.map_err(|error| CapacityError::Encoding {
        message: "JSON",
        source: error.into(),
    })
}

fn search_request(shard: ShardId, k: u32) -> SearchRequest {
    SearchRequest {
        request_id: "node-421-1764840000000-0000012345".into(),
        attempt: 90_000 + u64::from(shard),
        snapshot: 7,
        shard,
        route: "lookup".into(),
        query: "granite 12mm clamp, brushed, north".into(),
        k,
        remaining_ms: 78,
    }
}

fn search_reply(shard: ShardId, k: u32) -> SearchReply {
    let request = search_request(shard, k);
    let hits: Vec<SearchHit> = shard_hits(7, shard, &request.query, DOCUMENTS, k);
    SearchReply {
        request_id: request.request_id,
        attempt: request.attempt,
        snapshot: request.snapshot,
        shard,
        version: "2026-11".into(),
        incarnation: 1_764_840_000,
        state: TargetState::Warm,
        complete: true,
        hits,
    }
}

fn sub_search(shard: ShardId) -> SubSearch {
    SubSearch {
        service: "counter-desk".into(),
        target: format!("counter-desk-{shard:04}").into(),
        request: search_request(shard, BATCH_HITS),
        extra: false,
    }
}

fn sub_outcome(shard: ShardId) -> SubOutcome {
    SubOutcome::Reply(search_reply(shard, BATCH_HITS))
}
