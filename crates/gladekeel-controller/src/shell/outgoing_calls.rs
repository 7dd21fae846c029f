//! Calls to the store, the cloud and workers.
//!
//! An outcome distinguishes a request that was not executed from a request that may have been
//! executed: a request that was never sent can be retried at once, but a request without a
//! response may still take effect later.

use crate::{
    cloud_api::{CloudOutcome, CloudRequest},
    leader::{WorkerOutcome, WorkerRequest},
};
use gladekeel_http::{Client, ClientError, Pool};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::{http::HttpRequest, settings::Services};
use std::time::Duration;

/// Maximum number of idle connections to the store.
const MAX_IDLE_STORE_CONNECTIONS: usize = 8;
/// Maximum number of idle connections to the cloud.
const MAX_IDLE_CLOUD_CONNECTIONS: usize = 4;

/// The HTTP clients of a controller.
pub(super) struct OutgoingCalls {
    store: Client,
    cloud: Client,
    workers: Pool,
}

impl OutgoingCalls {
    pub(super) fn new(services: &Services, max_worker_connections: usize) -> OutgoingCalls {
        OutgoingCalls {
            store: Client::new(services.store, MAX_IDLE_STORE_CONNECTIONS),
            cloud: Client::new(services.cloud, MAX_IDLE_CLOUD_CONNECTIONS),
            workers: Pool::new(max_worker_connections),
        }
    }

    /// The number of open connections to workers, idle and in use.
    pub(super) fn worker_connections(&self) -> usize {
        self.workers.open()
    }

    /// Changes the maximum number of open connections to workers.
    pub(super) fn resize_worker_pool(&self, max_connections: usize) {
        self.workers.resize(max_connections);
    }

    /// Sends a request to the store and returns the outcome.
    pub(super) async fn call_store(
        &self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> StoreOutcome {
        let HttpRequest { method, target, body } = request.encode();
        match self.store.send(method, &target, &body, timeout).await {
            Ok(response) => request.decode(response.status, &response.body),
            Err(ClientError::NotSent(_)) => StoreOutcome::Unavailable,
            Err(ClientError::NoResponse(_)) => StoreOutcome::Unknown,
        }
    }

    /// Sends a request to the cloud and returns the outcome.
    pub(super) async fn call_cloud(
        &self,
        request: &CloudRequest,
        timeout: Duration,
    ) -> CloudOutcome {
        let HttpRequest { method, target, body } = request.encode();
        match self.cloud.send(method, &target, &body, timeout).await {
            Ok(response) => request.decode(response.status, &response.body),
            Err(ClientError::NotSent(_)) => CloudOutcome::Unavailable,
            Err(ClientError::NoResponse(_)) => CloudOutcome::Unknown,
        }
    }

    /// Sends commands to a worker, or requests the worker's state if there are no commands.
    /// Returns the outcome.
    pub(super) async fn call_worker(
        &self,
        request: &WorkerRequest,
        timeout: Duration,
    ) -> WorkerOutcome {
        let Ok(addr) = request.addr.parse() else { return WorkerOutcome::NotSent };
        let result = match &request.body {
            Some(commands) => {
                let body = serde_json::to_vec(commands).expect("wire types always serialise");
                self.workers.send(addr, "POST", "/do", &body, timeout).await
            }
            None => self.workers.send(addr, "GET", "/inspect", &[], timeout).await,
        };
        match result {
            Ok(response) if response.status == 200 => serde_json::from_slice(&response.body)
                .map_or(WorkerOutcome::Unknown, WorkerOutcome::Done),
            Ok(response) if matches!(response.status, 400 | 409) => WorkerOutcome::NotExecuted,
            Ok(_) | Err(ClientError::NoResponse(_)) => WorkerOutcome::Unknown,
            Err(ClientError::NotSent(_)) => WorkerOutcome::NotSent,
        }
    }
}
