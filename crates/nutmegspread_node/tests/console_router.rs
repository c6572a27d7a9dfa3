//! The console over HTTP: sign-in, access and submitted forms.

mod console_fixture;

use console_fixture::example_state;
use nutmegspread_node::console::{ConsoleHandles, ConsoleOutcome, console_router};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TOKEN: &str = "operators-token";

/// Serves the console; returns its address and the base revisions of the documents that it applied.
async fn serve() -> (SocketAddr, Arc<Mutex<Vec<u64>>>) {
    let bases: Arc<Mutex<Vec<u64>>> = Arc::default();
    let recorded_bases = Arc::clone(&bases);
    let handles = ConsoleHandles {
        state: Arc::new(|| Box::pin(async { example_state() })),
        apply: Arc::new(move |_, base| {
            recorded_bases.lock().unwrap().push(base);
            Box::pin(async move { ConsoleOutcome::Accepted(base + 1) })
        }),
        token: TOKEN.into(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, console_router(handles)).await });
    (address, bases)
}

async fn send(address: SocketAddr, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "{head}\r\nHost: node\r\nConnection: close\r\n\
         Content-Type: application/x-www-form-urlencoded\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

fn session_of(answer: &str) -> String {
    let line = answer.lines().find(|line| line.starts_with("set-cookie: "));
    let cookie = line.unwrap().trim_start_matches("set-cookie: ");
    assert!(cookie.contains("HttpOnly") && cookie.contains("SameSite=Strict"));
    cookie.split(';').next().unwrap().to_owned()
}

#[tokio::test]
async fn without_session_or_token_nothing_is_shown_or_applied() {
    let (address, bases) = serve().await;
    for head in [
        "GET /console HTTP/1.1",
        "GET /console/targets HTTP/1.1",
        "POST /console HTTP/1.1",
        "GET /console HTTP/1.1\r\nAuthorization: Bearer wrong",
        "GET /console HTTP/1.1\r\nCookie: nutmegspread_session=00",
    ] {
        let answer = send(address, head, "page=review&base=7&action=apply").await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{head}: {answer}");
        assert!(!answer.contains("catalog"), "{head}");
    }
    assert!(bases.lock().unwrap().is_empty());
}

#[tokio::test]
async fn signing_in_creates_a_session() {
    let (address, bases) = serve().await;
    let login = "POST /console/login HTTP/1.1";
    let refused = send(address, login, "token=wrong").await;
    assert!(refused.starts_with("HTTP/1.1 401") && !refused.contains("set-cookie"));
    let answer = send(address, login, &format!("token={TOKEN}")).await;
    assert!(answer.starts_with("HTTP/1.1 303"), "{answer}");
    let session = session_of(&answer);
    let head = format!("GET /console HTTP/1.1\r\nCookie: other=1; {session}");
    let answer = send(address, &head, "").await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("autumn"));
    let head = format!("POST /console HTTP/1.1\r\nCookie: {session}");
    let answer = send(address, &head, "page=review&base=7&action=apply").await;
    assert!(answer.contains("Revision 8 is accepted."), "{answer}");
    assert_eq!(*bases.lock().unwrap(), [7]);
}

#[tokio::test]
async fn a_bearer_token_is_accepted_without_a_session() {
    let (address, _) = serve().await;
    let bearer = format!("Authorization: Bearer {TOKEN}");
    let head = format!("POST /console HTTP/1.1\r\n{bearer}");
    let answer = send(address, &head, "page=review&base=7&action=download").await;
    assert!(
        answer.contains("content-disposition: attachment"),
        "{answer}"
    );
    assert!(answer.contains("\"catalog\""));
    let head = format!("GET /console/nowhere HTTP/1.1\r\n{bearer}");
    assert!(send(address, &head, "").await.starts_with("HTTP/1.1 404"));
}
