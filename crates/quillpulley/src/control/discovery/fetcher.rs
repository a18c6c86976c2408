//! A thread that fetches pages of the platform's list, one at a time.

use super::page;
use super::reader::{Fetch, FetchError};
use crate::HostError;
use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;
use ureq::Agent;

/// Timeout of one request, including its response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a page in bytes.
const MAX_PAGE_BYTES: u64 = 16 * 1024 * 1024;

/// The outcome of a fetch.
pub type Fetched = Result<page::Page, FetchError>;

/// The handle of the fetching thread.
pub struct Fetcher {
    fetches: Sender<(SocketAddr, Fetch)>,
}

impl Fetcher {
    /// Starts the thread, which fetches pages and calls `deliver` with each outcome.
    ///
    /// # Errors
    /// [`HostError::Runtime`] if the thread cannot be started.
    pub fn start<D>(deliver: D) -> Result<Self, HostError>
    where
        D: Fn(Fetched) + Send + 'static,
    {
        let (fetches, queue) = mpsc::channel();
        thread::Builder::new().spawn(move || fetch_all(&queue, deliver)).map_err(HostError::Runtime)?;
        Ok(Fetcher { fetches })
    }

    /// Queues a page to be fetched from `platform`. Pages are fetched in the order of the calls.
    pub fn fetch(&self, platform: SocketAddr, fetch: Fetch) {
        if self.fetches.send((platform, fetch)).is_err() {
            log::error!("the thread that fetches the platform's list has exited: restart the process");
        }
    }
}

fn fetch_all(queue: &Receiver<(SocketAddr, Fetch)>, deliver: impl Fn(Fetched)) {
    let config = Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .http_status_as_error(false)
        .max_redirects(0)
        .build();
    let agent = Agent::new_with_config(config);
    while let Ok((platform, fetch)) = queue.recv() {
        deliver(fetch_page(&agent, platform, fetch));
    }
}

fn fetch_page(agent: &Agent, platform: SocketAddr, fetch: Fetch) -> Fetched {
    let mut request = agent.get(format!("http://{platform}/instances"));
    if let Some(token) = &fetch.token {
        request = request.query("PageToken", token);
    }
    let mut response = request.call().map_err(|error| FetchError::Failed(error.to_string()))?;
    match response.status().as_u16() {
        200 => {}
        429 => return Err(FetchError::RateLimited),
        status => return Err(FetchError::Status(status)),
    }
    let mut body = response
        .body_mut()
        .with_config()
        .limit(MAX_PAGE_BYTES)
        .read_to_vec()
        .map_err(|error| FetchError::Failed(error.to_string()))?;
    page::parse_page(&mut body).map_err(|error| FetchError::Unreadable(error.to_string()))
}
