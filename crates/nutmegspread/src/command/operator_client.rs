//! HTTP client of a node's operator interface.

use crate::command_error::CommandError;
use nutmegspread_model::{ConfigurationDocument, Revision};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;

/// Sends authenticated requests to the operator interface of one node.
pub struct OperatorClient {
    address: String,
    token: String,
    http: reqwest::Client,
}

impl OperatorClient {
    /// Creates a client; white space around `token` is removed.
    pub fn new(address: &str, token: &str) -> Self {
        let token = token.trim().to_owned();
        Self {
            address: address.into(),
            token,
            http: reqwest::Client::new(),
        }
    }

    /// Creates a client with the token that `token_file` contains.
    ///
    /// # Errors
    /// [`CommandError::ReadFile`] when the token file cannot be read.
    pub fn from_file(address: &str, token_file: &Path) -> Result<Self, CommandError> {
        let token =
            std::fs::read_to_string(token_file).map_err(|source| CommandError::ReadFile {
                path: token_file.into(),
                source,
            })?;
        Ok(Self::new(address, &token))
    }

    /// Requests `path` and returns the JSON answer.
    ///
    /// # Errors
    /// [`CommandError::HttpFailed`], or [`CommandError::Refused`] for an error status.
    pub async fn get(&self, path: &str) -> Result<Value, CommandError> {
        let url = format!("http://{}{path}", self.address);
        read_answer(self.http.get(url).bearer_auth(&self.token).send().await?).await
    }

    /// Stores `document` as the next revision if `base` is still the current revision, and returns
    /// the new revision.
    ///
    /// # Errors
    /// [`CommandError::HttpFailed`], or [`CommandError::Refused`] for an error status. If `base` is not
    /// the current revision, the status is 409 and the body lists the differences.
    pub async fn apply(
        &self,
        document: &ConfigurationDocument,
        base: Revision,
    ) -> Result<Revision, CommandError> {
        let url = format!("http://{}/v1/configuration?base={base}", self.address);
        let request = self.http.put(url).bearer_auth(&self.token).json(document);
        let answer: Value = read_answer(request.send().await?).await?;
        Ok(answer["revision"].as_u64().unwrap_or_default())
    }
}

/// Decodes the JSON body of an answer with a success status.
///
/// # Errors
/// [`CommandError::Refused`] with the body of an answer with any other status;
/// [`CommandError::HttpFailed`] when the body cannot be read or decoded.
pub async fn read_answer<T: DeserializeOwned>(
    response: reqwest::Response,
) -> Result<T, CommandError> {
    let status = response.status();
    if !status.is_success() {
        let body = response.text().await?;
        return Err(CommandError::Refused {
            status: status.as_u16(),
            body,
        });
    }
    Ok(response.json().await?)
}
