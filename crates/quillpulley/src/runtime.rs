//! The runtime of a host: one thread, on which all its tasks take turns.

use crate::HostError;
use std::future::Future;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a host until it ends. Tasks that it leaves behind end with it.
///
/// # Errors
/// [`HostError`].
pub fn block_on<T>(host: impl Future<Output = Result<T, HostError>>) -> Result<T, HostError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(HostError::Runtime)?;
    LocalSet::new().block_on(&runtime, host)
}
