//! The async runtime of a host: a single thread that runs all tasks of the host.

use crate::HostError;
use std::future::Future;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a host to completion. Tasks that are still running then are cancelled.
///
/// # Errors
/// [`HostError::Runtime`] if the runtime cannot be created, or the error of the host.
pub fn block_on<T>(host: impl Future<Output = Result<T, HostError>>) -> Result<T, HostError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(HostError::Runtime)?;
    LocalSet::new().block_on(&runtime, host)
}
