//! Client for reading and writing the platform's objects.

use super::response_body::{LIST_BODY_BYTES, OBJECT_BODY_BYTES, read_body, rejection_text};
use super::{ObjectKind, ObjectList, PlatformError, PlatformSettings, PlatformWatch};
use nutmegspread_model::{PlatformObject, ResourceVersion};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Idle time after which a pooled connection is closed and not used again.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the platform's object API; clones share a pool of connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    settings: PlatformSettings,
    http: Client,
}

impl PlatformClient {
    /// Creates a client; connections are opened by the calls that need them.
    ///
    /// # Errors
    /// [`PlatformError::Setup`] if the HTTP client cannot be built.
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

    /// Settings that the client was created with.
    pub fn settings(&self) -> &PlatformSettings {
        &self.settings
    }

    /// Reads one object; returns `None` if it does not exist.
    ///
    /// # Errors
    /// Any [`PlatformError`] except those that only writes return, such as
    /// [`PlatformError::UnknownOutcome`]. A failed read has no effect.
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

    /// Reads all objects of a kind. Objects that cannot be decoded are left out and named.
    ///
    /// # Errors
    /// The same as for [`Self::fetch`], and [`PlatformError::NotFound`].
    pub async fn list<T: DeserializeOwned>(
        &self,
        kind: ObjectKind,
    ) -> Result<ObjectList<T>, PlatformError> {
        let request = self.request(Method::GET, &collection_path(kind));
        let body = self.read(request, LIST_BODY_BYTES).await?;
        ObjectList::decode(&body)
    }

    /// Creates an object and returns it with the version that the platform gave it.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if an object of this name exists;
    /// [`PlatformError::UnknownOutcome`] if the write was sent but no valid answer was received.
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

    /// Replaces an object if its stored version equals the one in `object`, and returns the object
    /// with its new version.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if the versions differ;
    /// [`PlatformError::UnknownOutcome`] if the write was sent but no valid answer was received.
    pub async fn replace<T: Serialize + DeserializeOwned>(
        &self,
        kind: ObjectKind,
        object: &PlatformObject<T>,
    ) -> Result<PlatformObject<T>, PlatformError> {
        let path = object_path(kind, &object.metadata.name);
        self.write(self.request(Method::PUT, &path).json(object))
            .await
    }

    /// Writes an object: replaces it if `object` has a version, and creates it otherwise.
    ///
    /// # Errors
    /// The same as for [`Self::replace`] and [`Self::create`].
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

    /// Replaces only the status of an object, if its stored version equals the one in `object`.
    ///
    /// # Errors
    /// The same as for [`Self::replace`].
    pub async fn replace_status<T: Serialize + DeserializeOwned>(
        &self,
        kind: ObjectKind,
        object: &PlatformObject<T>,
    ) -> Result<PlatformObject<T>, PlatformError> {
        let path = format!("{}/status", object_path(kind, &object.metadata.name));
        self.write(self.request(Method::PUT, &path).json(object))
            .await
    }

    /// Deletes an object. If `version` is given, the object is deleted only at that version.
    ///
    /// # Errors
    /// [`PlatformError::NotFound`] if the object does not exist; [`PlatformError::Conflict`] if it
    /// has another version; [`PlatformError::UnknownOutcome`] if the write was sent but no valid
    /// answer was received.
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

    /// Creates a watch that gets every change to objects of a kind after the version `from`. The
    /// watch connects on the first call of [`PlatformWatch::next`].
    pub fn watch<T: DeserializeOwned>(
        &self,
        kind: ObjectKind,
        from: ResourceVersion,
    ) -> PlatformWatch<T> {
        let collection_url = format!("http://{}{}", self.settings.address, collection_path(kind));
        PlatformWatch::new(
            self.http.clone(),
            collection_url,
            from,
            self.settings.watch_silence,
        )
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
        let unknown_outcome = |message| PlatformError::UnknownOutcome { message };
        let body = read_body(&mut response, OBJECT_BODY_BYTES)
            .await
            .map_err(unknown_outcome)?;
        serde_json::from_slice(&body).map_err(|error| unknown_outcome(error.to_string()))
    }

    async fn send_write(&self, request: RequestBuilder) -> Result<Response, PlatformError> {
        let mut response = request.send().await.map_err(|error| write_error(&error))?;
        let status = response.status();
        if status.is_client_error() {
            return Err(rejection(&mut response).await);
        }
        if !status.is_success() {
            return Err(PlatformError::UnknownOutcome {
                message: format!("status {status}"),
            });
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

/// Percent-encodes a name, so that a slash in it does not split the path segment.
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

/// Sends a read and returns its response if the status is a success.
pub(super) async fn send_read(request: RequestBuilder) -> Result<Response, PlatformError> {
    let mut response = request.send().await.map_err(|error| read_error(&error))?;
    let status = response.status();
    if status.is_client_error() {
        return Err(rejection(&mut response).await);
    }
    if !status.is_success() {
        return Err(PlatformError::NoAnswer {
            message: format!("status {status}"),
        });
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

/// Converts a response with a 4xx status into an error.
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
