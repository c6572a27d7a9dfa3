//! Tests the platform client against the platform stand-in, with each fault.

use nutmegspread_model::{ObjectMetadata, PlatformObject};
use nutmegspread_standin::platform::{FaultSettings, PlatformStandin, PlatformStandinSettings};
use nutmegspread_wire::platform::{
    ObjectKind, PlatformClient, PlatformError, PlatformSettings, WatchEvent,
};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const KIND: ObjectKind = ObjectKind::NodeRecord;

async fn start_standin() -> (PlatformStandin, PlatformClient) {
    let settings = PlatformStandinSettings {
        bookmark_interval: Duration::from_millis(50),
        ..Default::default()
    };
    let standin = PlatformStandin::start(settings).await.unwrap();
    let client = PlatformClient::new(PlatformSettings {
        address: standin.address().to_string(),
        call_timeout: Duration::from_millis(500),
        watch_silence: Duration::from_millis(500),
    })
    .unwrap();
    (standin, client)
}

fn object(name: &str, spec: &str, write_token: &str) -> PlatformObject<String> {
    let metadata = ObjectMetadata {
        name: name.into(),
        resource_version: None,
        write_token: Some(write_token.into()),
    };
    PlatformObject {
        kind: KIND.as_str().into(),
        metadata,
        spec: spec.into(),
        status: serde_json::Value::Null,
    }
}

#[tokio::test]
async fn writes_with_a_stale_version_conflict() {
    let (standin, client) = start_standin().await;
    assert_eq!(client.fetch::<String>(KIND, "a/b c").await.unwrap(), None);
    let mut first = client
        .create(KIND, &object("a/b c", "one", "t1"))
        .await
        .unwrap();
    assert_eq!(
        client.create(KIND, &first).await,
        Err(PlatformError::Conflict)
    );
    first.spec = "two".into();
    let second = client.replace(KIND, &first).await.unwrap();
    assert!(second.metadata.resource_version > first.metadata.resource_version);
    assert_eq!(
        client.replace(KIND, &first).await,
        Err(PlatformError::Conflict)
    );
    let mut with_status = second.clone();
    with_status.spec = "ignored".into();
    with_status.status = serde_json::json!("seen");
    client.replace_status(KIND, &with_status).await.unwrap();
    let fetched = client
        .fetch::<String>(KIND, "a/b c")
        .await
        .unwrap()
        .unwrap();
    assert_eq!(
        (fetched.spec.as_str(), fetched.status.as_str()),
        ("two", Some("seen"))
    );
    let stale = second.metadata.resource_version;
    assert_eq!(
        client.delete(KIND, "a/b c", stale).await,
        Err(PlatformError::Conflict)
    );
    client.delete(KIND, "a/b c", None).await.unwrap();
    assert_eq!(
        client.delete(KIND, "a/b c", None).await,
        Err(PlatformError::NotFound)
    );
    let calls = standin.calls();
    assert_eq!((calls.reads, calls.writes), (2, 8));
    standin.close().await;
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_takes_effect_with_an_unknown_outcome() {
    let (standin, client) = start_standin().await;
    standin.faults().update(|faults| faults.lose_answers = 1);
    let error = client
        .create(KIND, &object("a", "one", "t1"))
        .await
        .unwrap_err();
    assert!(
        matches!(error, PlatformError::UnknownOutcome { .. }),
        "{error:?}"
    );
    assert!(!error.is_without_effect());
    let found = client.fetch::<String>(KIND, "a").await.unwrap().unwrap();
    assert_eq!(found.metadata.write_token.as_deref(), Some("t1"));
    standin.close().await;
}

#[tokio::test]
async fn values_above_a_megabyte_are_refused() {
    let (standin, client) = start_standin().await;
    let large = object("a", &"x".repeat(1024 * 1024), "t1");
    assert_eq!(
        client.create(KIND, &large).await,
        Err(PlatformError::TooLarge)
    );
    assert_eq!(client.fetch::<String>(KIND, "a").await.unwrap(), None);
    standin.close().await;
}

#[tokio::test]
async fn each_outage_causes_its_own_error() {
    let (standin, client) = start_standin().await;
    let first = object("a", "one", "t1");
    standin.faults().update(|faults| faults.down = true);
    let error = client.create(KIND, &first).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::UnknownOutcome { .. }),
        "{error:?}"
    );
    let error = client.fetch::<String>(KIND, "a").await.unwrap_err();
    assert!(matches!(error, PlatformError::NoAnswer { .. }), "{error:?}");
    standin.faults().set(FaultSettings {
        hang: true,
        ..Default::default()
    });
    let error = client.create(KIND, &first).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::UnknownOutcome { .. }),
        "{error:?}"
    );
    standin.faults().set(FaultSettings {
        slow: Duration::from_secs(60),
        ..Default::default()
    });
    let error = client.fetch::<String>(KIND, "a").await.unwrap_err();
    assert!(matches!(error, PlatformError::NoAnswer { .. }), "{error:?}");
    standin.faults().set(FaultSettings::default());
    assert_eq!(client.fetch::<String>(KIND, "a").await.unwrap(), None);
    standin.close().await;
    let error = client.create(KIND, &first).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::Unreachable { .. }),
        "{error:?}"
    );
}

#[tokio::test]
async fn stale_reads_return_an_earlier_version() {
    let (standin, client) = start_standin().await;
    let mut first = client
        .create(KIND, &object("a", "one", "t1"))
        .await
        .unwrap();
    first.spec = "two".into();
    client.replace(KIND, &first).await.unwrap();
    standin.faults().update(|faults| faults.stale_versions = 1);
    assert_eq!(
        client
            .fetch::<String>(KIND, "a")
            .await
            .unwrap()
            .unwrap()
            .spec,
        "one"
    );
    assert_eq!(
        client.list::<String>(KIND).await.unwrap().items[0].spec,
        "one"
    );
    standin.faults().update(|faults| faults.stale_versions = 2);
    assert_eq!(client.list::<String>(KIND).await.unwrap().items, []);
    standin.close().await;
}

#[tokio::test]
async fn a_watch_reports_changes_bookmarks_and_stalls() {
    let (standin, client) = start_standin().await;
    let list = client.list::<String>(KIND).await.unwrap();
    let mut watch = client.watch::<String>(KIND, list.resource_version);
    assert_eq!(watch.next().await, Ok(WatchEvent::Bookmark(0)));
    let created = client
        .create(KIND, &object("a", "one", "t1"))
        .await
        .unwrap();
    let event = loop {
        match watch.next().await.unwrap() {
            WatchEvent::Bookmark(_) => {}
            event => break event,
        }
    };
    assert_eq!(event, WatchEvent::Added(created));
    assert_eq!(standin.calls().watches_waiting, 1);
    standin
        .faults()
        .update(|faults| faults.silent_watches = true);
    let error = loop {
        if let Err(error) = watch.next().await {
            break error;
        }
    };
    assert_eq!(
        error,
        PlatformError::WatchSilent {
            bound: Duration::from_millis(500)
        }
    );
    client.delete(KIND, "a", None).await.unwrap();
    standin
        .faults()
        .update(|faults| faults.silent_watches = false);
    assert!(matches!(
        watch.next().await.unwrap(),
        WatchEvent::Deleted(_)
    ));
    standin.faults().update(|faults| faults.down = true);
    while watch.next().await.is_ok() {}
    assert!(matches!(
        watch.next().await,
        Err(PlatformError::NoAnswer { .. })
    ));
    watch.close();
    standin.close().await;
}

#[tokio::test]
async fn a_watch_from_an_expired_version_fails_as_gone() {
    let (standin, client) = start_standin().await;
    let mut first = client.create(KIND, &object("a", "0", "t0")).await.unwrap();
    for update in 1..=4200 {
        first.spec = update.to_string();
        first = client.replace(KIND, &first).await.unwrap();
    }
    let mut watch = client.watch::<String>(KIND, 1);
    assert_eq!(watch.next().await, Err(PlatformError::Gone));
    standin.close().await;
}

#[tokio::test]
async fn faults_are_set_over_http() {
    let (standin, client) = start_standin().await;
    let url = format!("http://{}/standin/faults", standin.address());
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let body = r#"{"down": true, "slow_ms": 5}"#;
    let post = |body: &'static str| {
        http.post(&url)
            .header("content-type", "application/json")
            .body(body)
    };
    assert!(post(body).send().await.unwrap().status().is_success());
    let expected = FaultSettings {
        down: true,
        slow: Duration::from_millis(5),
        ..Default::default()
    };
    assert_eq!(standin.faults().current(), expected);
    assert!(client.fetch::<String>(KIND, "a").await.is_err());
    assert!(
        post(r#"{"unknown": 1}"#)
            .send()
            .await
            .unwrap()
            .status()
            .is_client_error()
    );
    let url = format!("http://{}/standin/calls", standin.address());
    let text = http.get(url).send().await.unwrap().text().await.unwrap();
    assert!(text.contains(r#""reads":1"#), "{text}");
    standin.close().await;
}

/// Returns a client of a platform that answers every call with `status` and `body`.
async fn start_fixed_answer(status: &'static str, body: Vec<u8>) -> PlatformClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let length = body.len();
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
            let answer = [head.as_bytes(), &body].concat();
            let mut request = [0; 4096];
            while matches!(stream.read(&mut request).await, Ok(1..)) {
                // The client may have closed the connection.
                let _ = stream.write_all(&answer).await;
            }
        }
    });
    PlatformClient::new(PlatformSettings {
        address,
        call_timeout: Duration::from_secs(5),
        watch_silence: Duration::from_secs(5),
    })
    .unwrap()
}

/// Guards against one unreadable object that makes the whole list of its kind fail.
#[tokio::test]
async fn an_unreadable_object_of_a_list_leaves_the_others() {
    let object = |name: &[u8], version: &[u8], spec: &[u8]| {
        let start = b"{\"kind\":\"NodeRecord\",\"metadata\":{\"name\":";
        let version = [
            b",\"resourceVersion\":",
            version,
            b"},\"spec\":",
            spec,
            b"}",
        ]
        .concat();
        [&start[..], name, &version].concat()
    };
    let cases: [(Vec<u8>, Option<&str>, Option<u64>); 6] = [
        (object(b"\"odd\"", b"4", b"7"), Some("odd"), Some(4)),
        (object(b"\"odd\"", b"4", b"\"\xff\""), Some("odd"), Some(4)),
        (object(b"\"odd\"", b"1e40", b"\"x\""), Some("odd"), None),
        (object(b"\"\xff\"", b"4", b"\"x\""), None, Some(4)),
        (object(b"7", b"4", b"\"x\""), None, Some(4)),
        (b"17".to_vec(), None, None),
    ];
    for (odd, name, version) in cases {
        let [first, last] = ["\"a\"", "\"b\""].map(|name| object(name.as_bytes(), b"3", b"\"x\""));
        let items = [first, odd, last].join(&b',');
        let start = &b"{\"metadata\":{\"resourceVersion\":9},\"items\":["[..];
        let client = start_fixed_answer("200 OK", [start, &items, b"]}"].concat()).await;
        let list = client.list::<String>(KIND).await.unwrap();
        let names: Vec<&str> = list.items.iter().map(|item| &*item.metadata.name).collect();
        assert_eq!((names, list.resource_version), (vec!["a", "b"], 9));
        let found = &list.unreadable[0];
        assert_eq!(
            (found.name.as_deref(), found.resource_version),
            (name, version)
        );
    }
}

/// Guards against a write that counts as made or as rejected, and against objects, from an answer whose status
/// is 000.
#[tokio::test]
async fn an_answer_without_a_valid_status_says_nothing() {
    let statuses = [
        "000 OK", "000", "00 OK", "099 OK", "1000 OK", "OOO OK", " 200 OK", "600 OK", "999 OK",
    ];
    let object = object("a", "one", "t1");
    let body = serde_json::to_vec(&object).unwrap();
    for status in ["200 OK"].into_iter().chain(statuses) {
        let client = start_fixed_answer(status, body.clone()).await;
        let writes = [
            client.create(KIND, &object).await.map(drop),
            client.replace(KIND, &object).await.map(drop),
            client.replace_status(KIND, &object).await.map(drop),
            client.delete(KIND, "a", None).await,
        ];
        let read = client.fetch::<String>(KIND, "a").await;
        let is_right = |end: &Result<(), PlatformError>| match status {
            "200 OK" => end.is_ok(),
            _ => matches!(end, Err(PlatformError::UnknownOutcome { .. })),
        };
        assert!(writes.iter().all(is_right), "{status}: {writes:?}");
        assert_eq!(read.is_ok(), status == "200 OK", "{status}: {read:?}");
        let list = start_fixed_answer(
            status,
            b"{\"metadata\":{\"resourceVersion\":9},\"items\":[]}".to_vec(),
        );
        let list = list.await.list::<String>(KIND).await;
        assert_eq!(list.is_ok(), status == "200 OK", "{status}: {list:?}");
    }
}
