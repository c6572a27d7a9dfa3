//! Calls on the operators' interface of a node.

use crate::command_error::CommandError;
use nutmegspread_model::{ConfigurationDocument, Revision};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;

/// Address and token of a node's operators' interface.
pub struct OperatorClient {
    address: String,
    token: String,
    http: reqwest::Client,
}

impl OperatorClient {
    /// Creates a client with the token at hand.
    pub fn new(address: &str, token: &str) -> Self {
        let token = token.trim().to_owned();
        Self {
            address: address.into(),
            token,
            http: reqwest::Client::new(),
        }
    }

    /// Creates a client with the token from a file.
    ///
    /// # Errors
    /// [`CommandError::ReadFile`] when the file cannot be read.
    pub fn from_file(address: &str, token_file: &Path) -> Result<Self, CommandError> {
        let token =
            std::fs::read_to_string(token_file).map_err(|source| CommandError::ReadFile {
                path: token_file.into(),
                source,
            })?;
        Ok(Self::new(address, &token))
    }

    /// Reads a JSON answer.
    ///
    /// # Errors
    /// [`CommandError::Call`] or [`CommandError::Refused`].
    pub async fn read(&self, path: &str) -> Result<Value, CommandError> {
        let url = format!("http://{}{path}", self.address);
        read_answer(self.http.get(url).bearer_auth(&self.token).send().await?).await
    }

    /// Applies a document on condition that `base` is the current revision; returns the new one.
    ///
    /// # Errors
    /// [`CommandError::Call`] or [`CommandError::Refused`], with the difference on a conflict.
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

/// Reads the JSON body of a successful answer.
///
/// # Errors
/// [`CommandError::Call`], or [`CommandError::Refused`] with the body of any other answer.
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
