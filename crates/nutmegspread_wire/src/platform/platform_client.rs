//! The calls of the object API.

use super::response_body::{LIST_BODY_BYTES, OBJECT_BODY_BYTES, read_body, rejection_text};
use super::{ObjectKind, ObjectList, PlatformError, PlatformSettings, PlatformWatch};
use nutmegspread_model::{PlatformObject, ResourceVersion};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Idle time after which a kept connection is not used again.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of one platform; clones share its connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    settings: PlatformSettings,
    http: Client,
}

/// Wire form of a list.
#[derive(Deserialize)]
struct ListBody<T> {
    metadata: ListMetadata,
    items: Vec<PlatformObject<T>>,
}

/// Metadata of a list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListMetadata {
    resource_version: ResourceVersion,
}

impl PlatformClient {
    /// Builds a client; no connection is opened yet.
    ///
    /// # Errors
    /// [`PlatformError::Setup`] when the HTTP library cannot be set up.
    pub fn new(settings: PlatformSettings) -> Result<Self, PlatformError> {
        let http = Client::builder()
            .no_proxy()
            .http1_only()
            .connect_timeout(settings.call_timeout)
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build()
            .map_err(|error| PlatformError::Setup {
                message: error.to_string(),
            })?;
        Ok(Self { settings, http })
    }

    /// Settings that the client was built with.
    pub fn settings(&self) -> &PlatformSettings {
        &self.settings
    }

    /// Reads one object; `None` when it does not exist.
    ///
    /// # Errors
    /// Any but those of writes; a failed read never has an effect.
    pub async fn fetch<T: DeserializeOwned>(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<PlatformObject<T>>, PlatformError> {
        let request = self.request(Method::GET, &object_path(kind, name));
        match self.read(request, OBJECT_BODY_BYTES).await {
            Ok(body) => parse_read(&body).map(Some),
            Err(PlatformError::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    /// As for [`Self::fetch`].
    pub async fn list<T: DeserializeOwned>(
        &self,
        kind: ObjectKind,
    ) -> Result<ObjectList<T>, PlatformError> {
        let request = self.request(Method::GET, &collection_path(kind));
        let body = self.read(request, LIST_BODY_BYTES).await?;
        let list: ListBody<T> = parse_read(&body)?;
        Ok(ObjectList {
            items: list.items,
            resource_version: list.metadata.resource_version,
        })
    }

    /// Creates an object and returns it with its version.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] when the name is taken;
    /// [`PlatformError::UnknownOutcome`] when the answer is lost.
    pub async fn create<T: Serialize + DeserializeOwned>(
        &self,
        kind: ObjectKind,
        object: &PlatformObject<T>,
    ) -> Result<PlatformObject<T>, PlatformError> {
        self.write(
            self.request(Method::POST, &collection_path(kind))
                .json(object),
        )
        .await
    }

    /// Replaces an object if its version is still the one in `object`, and returns the new state.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] when the version differs;
    /// [`PlatformError::UnknownOutcome`] when the answer is lost.
    pub async fn replace<T: Serialize + DeserializeOwned>(
        &self,
        kind: ObjectKind,
        object: &PlatformObject<T>,
    ) -> Result<PlatformObject<T>, PlatformError> {
        let path = object_path(kind, &object.metadata.name);
        self.write(self.request(Method::PUT, &path).json(object))
            .await
    }

    /// Replaces an object that has a version, and creates one that has none.
    ///
    /// # Errors
    /// As for [`Self::replace`] and [`Self::create`].
    pub async fn store<T: Serialize + DeserializeOwned>(
        &self,
        kind: ObjectKind,
        object: &PlatformObject<T>,
    ) -> Result<PlatformObject<T>, PlatformError> {
        match object.metadata.resource_version {
            Some(_) => self.replace(kind, object).await,
            None => self.create(kind, object).await,
        }
    }

    /// Replaces only the status of an object, if its version is still the one in `object`.
    ///
    /// # Errors
    /// As for [`Self::replace`].
    pub async fn replace_status<T: Serialize + DeserializeOwned>(
        &self,
        kind: ObjectKind,
        object: &PlatformObject<T>,
    ) -> Result<PlatformObject<T>, PlatformError> {
        let path = format!("{}/status", object_path(kind, &object.metadata.name));
        self.write(self.request(Method::PUT, &path).json(object))
            .await
    }

    /// Deletes an object, if its version is still `version` where one is given.
    ///
    /// # Errors
    /// [`PlatformError::NotFound`], [`PlatformError::Conflict`], or
    /// [`PlatformError::UnknownOutcome`] when the answer is lost.
    pub async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        version: Option<ResourceVersion>,
    ) -> Result<(), PlatformError> {
        let query = version.map(|version| format!("?resourceVersion={version}"));
        let path = format!("{}{}", object_path(kind, name), query.unwrap_or_default());
        let mut response = self.send_write(self.request(Method::DELETE, &path)).await?;
        read_body(&mut response, OBJECT_BODY_BYTES)
            .await
            .map_err(|message| PlatformError::UnknownOutcome { message })?;
        Ok(())
    }

    /// Prepares a watch of a kind; it connects on the first [`PlatformWatch::next`].
    pub fn watch<T: DeserializeOwned>(
        &self,
        kind: ObjectKind,
        from: ResourceVersion,
    ) -> PlatformWatch<T> {
        let base = format!("http://{}{}", self.settings.address, collection_path(kind));
        PlatformWatch::new(self.http.clone(), base, from, self.settings.watch_silence)
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.settings.address);
        self.http
            .request(method, url)
            .timeout(self.settings.call_timeout)
    }

    async fn read(&self, request: RequestBuilder, limit: usize) -> Result<Vec<u8>, PlatformError> {
        let mut response = send_read(request).await?;
        read_body(&mut response, limit)
            .await
            .map_err(|message| PlatformError::NoAnswer { message })
    }

    async fn write<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<PlatformObject<T>, PlatformError> {
        let mut response = self.send_write(request).await?;
        let unknown = |message| PlatformError::UnknownOutcome { message };
        let body = read_body(&mut response, OBJECT_BODY_BYTES)
            .await
            .map_err(unknown)?;
        serde_json::from_slice(&body).map_err(|error| unknown(error.to_string()))
    }

    async fn send_write(&self, request: RequestBuilder) -> Result<Response, PlatformError> {
        let mut response = request.send().await.map_err(|error| write_error(&error))?;
        let status = response.status();
        if status.is_server_error() {
            return Err(PlatformError::UnknownOutcome {
                message: format!("status {status}"),
            });
        }
        if !status.is_success() {
            return Err(rejection(&mut response).await);
        }
        Ok(response)
    }
}

fn collection_path(kind: ObjectKind) -> String {
    format!("/apis/nutmegspread/v1/{}", kind.as_str())
}

fn object_path(kind: ObjectKind, name: &str) -> String {
    format!("{}/{}", collection_path(kind), encode_segment(name))
}

/// Percent-encodes a name so that it stays one segment of a path.
fn encode_segment(name: &str) -> String {
    let mut segment = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            segment.push(char::from(byte));
        } else {
            segment.push_str(&format!("%{byte:02X}"));
        }
    }
    segment
}

fn parse_read<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed {
        message: error.to_string(),
    })
}

/// Sends a read and returns its answer when that is a success.
pub(super) async fn send_read(request: RequestBuilder) -> Result<Response, PlatformError> {
    let mut response = request.send().await.map_err(|error| read_error(&error))?;
    let status = response.status();
    if status.is_server_error() {
        return Err(PlatformError::NoAnswer {
            message: format!("status {status}"),
        });
    }
    if !status.is_success() {
        return Err(rejection(&mut response).await);
    }
    Ok(response)
}

fn read_error(error: &reqwest::Error) -> PlatformError {
    let message = error.to_string();
    if error.is_connect() {
        PlatformError::Unreachable { message }
    } else {
        PlatformError::NoAnswer { message }
    }
}

fn write_error(error: &reqwest::Error) -> PlatformError {
    let message = error.to_string();
    if error.is_connect() || error.is_builder() {
        PlatformError::Unreachable { message }
    } else {
        PlatformError::UnknownOutcome { message }
    }
}

/// Turns a 4xx answer into the error that names it.
async fn rejection(response: &mut Response) -> PlatformError {
    match response.status() {
        StatusCode::CONFLICT => PlatformError::Conflict,
        StatusCode::NOT_FOUND => PlatformError::NotFound,
        StatusCode::GONE => PlatformError::Gone,
        StatusCode::PAYLOAD_TOO_LARGE => PlatformError::TooLarge,
        StatusCode::TOO_MANY_REQUESTS => PlatformError::Throttled,
        status => PlatformError::Rejected {
            status: status.as_u16(),
            message: rejection_text(response).await,
        },
    }
}
