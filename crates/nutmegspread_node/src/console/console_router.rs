//! HTTP routes of the console.

use super::operator_session::OperatorSessions;
use super::page_frame::show_login;
use super::{
    ConsoleForm, ConsoleHandles, ConsolePage, ConsoleReply, answer_form, show_outcome, show_page,
};
use axum::extract::{DefaultBodyLimit, Form, Path, Request, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::middleware::Next;
use axum::response::{Html, IntoResponse, Redirect, Response};
use axum::routing::{get, post};
use axum::{Router, middleware};
use std::sync::Arc;
use std::time::SystemTime;

/// Largest size of a submitted form, in bytes: the whole document in URL encoding and the fields that
/// edit it.
const FORM_BYTES_LIMIT: usize = 8 << 20;
/// Name of the cookie that contains the session name.
const SESSION_COOKIE: &str = "nutmegspread_session";

#[derive(Clone)]
struct ConsoleContext {
    handles: ConsoleHandles,
    sessions: Arc<OperatorSessions>,
}

/// Routes under `/console`. All of them except the sign-in require a session or the bearer token.
pub fn console_router(handles: ConsoleHandles) -> Router {
    let context = ConsoleContext {
        handles,
        sessions: Arc::default(),
    };
    let pages = Router::new()
        .route("/console", get(show_default).post(submit))
        .route("/console/{page}", get(show_named))
        .layer(middleware::from_fn_with_state(
            context.clone(),
            require_operator,
        ));
    Router::new()
        .merge(pages)
        .route("/console/login", post(sign_in))
        .layer(DefaultBodyLimit::max(FORM_BYTES_LIMIT))
        .with_state(context)
}

async fn require_operator(
    State(context): State<ConsoleContext>,
    request: Request,
    next: Next,
) -> Response {
    let headers = request.headers();
    let session = cookie(headers, SESSION_COOKIE);
    let has_session = session.is_some_and(|session| context.sessions.is_open(session));
    let token = bearer_token(headers);
    let has_token = token.is_some_and(|token| is_same_token(token, &context.handles.token));
    if has_session || has_token {
        return next.run(request).await;
    }
    let page = show_login(false).into_string();
    (StatusCode::UNAUTHORIZED, Html(page)).into_response()
}

async fn sign_in(
    State(context): State<ConsoleContext>,
    Form(pairs): Form<Vec<(String, String)>>,
) -> Response {
    let form = ConsoleForm { pairs };
    let token = form.value("token").unwrap_or_default();
    if !is_same_token(token, &context.handles.token) {
        let page = show_login(true).into_string();
        return (StatusCode::UNAUTHORIZED, Html(page)).into_response();
    }
    let session = context.sessions.create();
    let cookie = format!("{SESSION_COOKIE}={session}; HttpOnly; SameSite=Strict; Path=/console");
    ([(header::SET_COOKIE, cookie)], Redirect::to("/console")).into_response()
}

async fn show_default(State(context): State<ConsoleContext>) -> Response {
    let state = (context.handles.state)().await;
    Html(show_page(&state, ConsolePage::Status)).into_response()
}

async fn show_named(State(context): State<ConsoleContext>, Path(name): Path<String>) -> Response {
    let Some(page) = ConsolePage::from_name(&name) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let state = (context.handles.state)().await;
    Html(show_page(&state, page)).into_response()
}

async fn submit(
    State(context): State<ConsoleContext>,
    Form(pairs): Form<Vec<(String, String)>>,
) -> Response {
    let form = ConsoleForm { pairs };
    let state = (context.handles.state)().await;
    match answer_form(&state, &form, SystemTime::now()) {
        ConsoleReply::Page(page) => Html(page).into_response(),
        ConsoleReply::Download(text) => download_response(text),
        ConsoleReply::Apply { document, base } => {
            let outcome = (context.handles.apply)(*document, base).await;
            let state = (context.handles.state)().await;
            Html(show_outcome(&state, &form, &outcome)).into_response()
        }
    }
}

fn download_response(text: String) -> Response {
    let headers = [
        (header::CONTENT_TYPE, "application/json"),
        (
            header::CONTENT_DISPOSITION,
            "attachment; filename=\"nutmegspread.json\"",
        ),
    ];
    (headers, text).into_response()
}

fn cookie<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let text = headers.get(header::COOKIE)?.to_str().ok()?;
    let mut pairs = text
        .split(';')
        .filter_map(|pair| pair.trim().split_once('='));
    let pair = pairs.find(|(key, _)| *key == name);
    pair.map(|(_, value)| value)
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    text.strip_prefix("Bearer ")
}

/// Compares a presented token with the expected one. The time doesn't depend on the position of the
/// first difference, so that it reveals nothing about the token.
fn is_same_token(presented: &str, expected: &str) -> bool {
    let pairs = presented.bytes().zip(expected.bytes());
    let difference = pairs.fold(0, |sum, (a, b)| sum | (a ^ b));
    presented.len() == expected.len() && !expected.is_empty() && difference == 0
}
