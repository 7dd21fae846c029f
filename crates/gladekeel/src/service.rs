//! Calls to a running service.

use crate::{arguments::ServiceArguments, error::CommandError};
use gladekeel_http::{Client, ClientError, ReceivedResponse};
use gladekeel_wire::job::ErrorBody;
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Timeout of a call, from connecting to the complete response.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// A request to the service.
pub struct Call<'a> {
    pub method: &'static str,
    pub path: &'a str,
    pub body: &'a [u8],
}

impl Call<'_> {
    pub fn get(path: &str) -> Call<'_> {
        Call { method: "GET", path, body: b"" }
    }
}

impl ServiceArguments {
    /// Calls the service and parses the JSON of its response.
    pub fn fetch<T: DeserializeOwned>(&self, call: &Call<'_>) -> Result<T, CommandError> {
        self.parse(&self.send(call)?)
    }

    /// Calls the service and prints the response: with `--json` the JSON unchanged, otherwise the
    /// text that `format` returns.
    pub fn print<T: DeserializeOwned>(
        &self,
        call: &Call<'_>,
        format: impl FnOnce(T) -> String,
    ) -> Result<(), CommandError> {
        let response = self.send(call)?;
        let text = if self.json {
            String::from_utf8_lossy(&response.body).into_owned()
        } else {
            format(self.parse(&response)?)
        };
        println!("{}", text.trim_end());
        Ok(())
    }

    /// Calls the service. A response with a status of 300 or above is an error.
    fn send(&self, call: &Call<'_>) -> Result<ReceivedResponse, CommandError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(CommandError::Runtime)?;
        let client = Client::new(self.server, 0);
        let response = runtime
            .block_on(client.send(call.method, call.path, call.body, CALL_TIMEOUT))
            .map_err(|error| transport_error(self.server, error))?;
        if response.status < 300 { Ok(response) } else { Err(refusal(&response)) }
    }

    fn parse<T: DeserializeOwned>(&self, response: &ReceivedResponse) -> Result<T, CommandError> {
        serde_json::from_slice(&response.body)
            .map_err(|source| CommandError::UnreadableResponse { server: self.server, source })
    }
}

fn transport_error(server: SocketAddr, error: ClientError) -> CommandError {
    match error {
        ClientError::NotSent(source) => CommandError::Unreachable { server, source },
        ClientError::NoResponse(source) => CommandError::NoResponse { server, source },
    }
}

fn refusal(response: &ReceivedResponse) -> CommandError {
    let message = match serde_json::from_slice::<ErrorBody>(&response.body) {
        Ok(body) => body.error,
        Err(_) => String::from_utf8_lossy(&response.body).into_owned(),
    };
    CommandError::Refused { status: response.status, message: message.trim().to_owned() }
}
