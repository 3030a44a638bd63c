//! HTTP client of the platform's services.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Client, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use winch_event::{Event, emit};

use crate::{
    membership::{Membership, Vm},
    object::Objects,
    table::{Commit, Error, Row, Table, Transaction},
    weight::{Permit, Weights},
};

/// Parameters of the client.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL, without a trailing slash.
    pub base: String,
    /// Timeout of one request, including its response.
    pub timeout: Duration,
}

/// A client of the platform. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    base: String,
}

impl Platform {
    /// Makes a client that never retries a request.
    ///
    /// # Panics
    /// If the HTTP library cannot be set up, which depends on no external resource.
    pub fn new(options: Options) -> Self {
        let client = Client::builder()
            .no_proxy()
            .timeout(options.timeout)
            .retry(reqwest::retry::never())
            .build()
            .expect("a client without TLS always builds");
        Self { client, base: options.base }
    }

    async fn post<B: Serialize + Sync>(&self, path: &str, body: &B) -> Result<Response, Error> {
        let sent = self.client.post(format!("{}{path}", self.base)).json(body).send().await;
        check_response(sent)
    }

    async fn fetch(&self, path: &str, query: &[(&str, &str)]) -> Result<Response, Error> {
        let url = reqwest::Url::parse_with_params(&format!("{}{path}", self.base), query)
            .map_err(|e| Error::Unavailable { reason: e.to_string() })?;
        check_response(self.client.get(url).send().await)
    }
}

/// Returns a usable response, or an error that says whether the request may have taken
/// effect: `Unavailable` if it was not processed, `Lost` if that is not known. The status
/// 404 is usable, since an object may be absent.
fn check_response(sent: Result<Response, reqwest::Error>) -> Result<Response, Error> {
    let response = sent.map_err(|e| match e.is_connect() || e.is_builder() {
        true => Error::Unavailable { reason: e.to_string() },
        false => Error::Lost { reason: e.to_string() },
    })?;
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(Error::Unavailable { reason: response.status().to_string() })
        }
        status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(response),
        status => Err(Error::Lost { reason: status.to_string() }),
    }
}

/// Decodes the body of a response. One that cannot be decoded counts as lost.
async fn decode<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    response.json().await.map_err(|e| Error::Lost { reason: e.to_string() })
}

/// Decodes the VMs of the list one by one. One that cannot be decoded, which another writer may have
/// written, is logged and left out.
async fn decode_members(response: Response) -> Result<Vec<Vm>, Error> {
    let members: Vec<Value> = decode(response).await?;
    let decode_member = |member: Value| {
        let name = member["name"].as_str().unwrap_or("-").to_owned();
        let decoded = serde_json::from_value(member).inspect_err(|fault| {
            emit!(Event::RowUnreadable, table = "members", key = name, fault = fault);
        });
        decoded.ok()
    };
    Ok(members.into_iter().filter_map(decode_member).collect())
}

impl Table for Platform {
    async fn commit(&self, txn: Transaction) -> Result<Commit, Error> {
        decode(self.post("/table/commit", &txn).await?).await
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        decode(self.fetch("/table/row", &[("key", key)]).await?).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let limit = limit.to_string();
        let query = [("prefix", prefix), ("after", after), ("limit", &*limit)];
        decode(self.fetch("/table/scan", &query).await?).await
    }
}

impl Objects for Platform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), Error> {
        let sent = self.client.put(format!("{}/objects/{name}", self.base)).body(body).send().await;
        check_response(sent).map(drop)
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let response = self.fetch(&format!("/objects/{name}"), &[]).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        response.bytes().await.map(Some).map_err(|e| Error::Lost { reason: e.to_string() })
    }
}

impl Weights for Platform {
    async fn permit(&self, version: &str) -> Result<Permit, Error> {
        decode(self.post("/weights/permit", &version).await?).await
    }
}

impl Membership for Platform {
    async fn list(&self) -> Result<Vec<Vm>, Error> {
        decode_members(self.fetch("/members", &[]).await?).await
    }

    async fn register(&self, vm: Vm) -> Result<(), Error> {
        self.post("/members", &vm).await.map(drop)
    }
}
