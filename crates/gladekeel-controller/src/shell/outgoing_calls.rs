//! Calls to the store, the cloud and workers.
//!
//! An outcome tells "was not executed" from "may have been executed": a request that was
//! never sent may be repeated at once, one without a response may take effect later.

use crate::{
    cloud_api::{CloudOutcome, CloudRequest},
    leader::{WorkerOutcome, WorkerRequest},
};
use gladekeel_http::{Client, ClientError, Pool};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::{http::HttpRequest, settings::Services};
use std::time::Duration;

/// Idle connections that are kept to the store.
const IDLE_STORE_CONNECTIONS: usize = 8;
/// Idle connections that are kept to the cloud.
const IDLE_CLOUD_CONNECTIONS: usize = 4;

/// The clients of a controller.
pub(super) struct OutgoingCalls {
    store: Client,
    cloud: Client,
    workers: Pool,
}

impl OutgoingCalls {
    pub(super) fn new(services: &Services, max_worker_connections: usize) -> OutgoingCalls {
        OutgoingCalls {
            store: Client::new(services.store, IDLE_STORE_CONNECTIONS),
            cloud: Client::new(services.cloud, IDLE_CLOUD_CONNECTIONS),
            workers: Pool::new(max_worker_connections),
        }
    }

    /// Open connections to workers, idle and in use.
    pub(super) fn worker_connections(&self) -> usize {
        self.workers.open()
    }

    /// Changes the maximum of open connections to workers.
    pub(super) fn resize_worker_pool(&self, max_connections: usize) {
        self.workers.resize(max_connections);
    }

    pub(super) async fn call_store(
        &self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> StoreOutcome {
        let HttpRequest { method, target, body } = request.encode();
        match self.store.send(method, &target, &body, timeout).await {
            Ok(reply) => request.decode(reply.status, &reply.body),
            Err(ClientError::NotSent(_)) => StoreOutcome::Unavailable,
            Err(ClientError::NoAnswer(_)) => StoreOutcome::Unknown,
        }
    }

    pub(super) async fn call_cloud(
        &self,
        request: &CloudRequest,
        timeout: Duration,
    ) -> CloudOutcome {
        let HttpRequest { method, target, body } = request.encode();
        match self.cloud.send(method, &target, &body, timeout).await {
            Ok(reply) => request.decode(reply.status, &reply.body),
            Err(ClientError::NotSent(_)) => CloudOutcome::Unavailable,
            Err(ClientError::NoAnswer(_)) => CloudOutcome::Unknown,
        }
    }

    /// Sends commands to a worker, or reads its state if there are none.
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
            Ok(reply) if reply.status == 200 => serde_json::from_slice(&reply.body)
                .map_or(WorkerOutcome::Unknown, WorkerOutcome::Done),
            Ok(reply) if matches!(reply.status, 400 | 409) => WorkerOutcome::NotExecuted,
            Ok(_) | Err(ClientError::NoAnswer(_)) => WorkerOutcome::Unknown,
            Err(ClientError::NotSent(_)) => WorkerOutcome::NotSent,
        }
    }
}
