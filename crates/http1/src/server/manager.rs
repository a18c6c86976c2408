//! Accepts incoming connections up to a maximum number, closes idle connections, and drains without losing a
//! request.
//!
//! A [`Service`] responds to the requests.

use super::backlog::Backlog;
use super::connection::{ServeEnd, ServerConnection, Service};
use super::options::ConnectionOptions;
use crate::socket::Socket;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The number of consecutive rounds without an open connection after which none waits in the kernel's queue
/// either.
const EMPTY_ROUNDS: u32 = 2;

/// All incoming connections of a listener.
pub struct ConnectionManager {
    options: Cell<ConnectionOptions>,
    draining: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<ServerConnection>>>,
    next_number: Cell<u64>,
    closed: Notify,
    backlog: Rc<Backlog>,
}

impl ConnectionManager {
    /// Creates a manager that has no connections yet.
    pub fn new(options: ConnectionOptions) -> Rc<Self> {
        Rc::new(ConnectionManager {
            options: Cell::new(options),
            draining: Cell::new(false),
            connections: RefCell::default(),
            next_number: Cell::new(0),
            closed: Notify::new(),
            backlog: Rc::default(),
        })
    }

    /// Sets the limits of new connections. Open connections keep the limits with which they were accepted. Those
    /// that accept only shorter heads are asked to close once no request is open.
    pub fn set_options(&self, options: ConnectionOptions) {
        self.options.set(options);
        let connections = self.connections.borrow();
        for connection in
            connections.values().filter(|each| each.max_header_bytes() < options.max_header_bytes)
        {
            connection.request_close();
        }
    }

    /// Accepts and serves connections for as long as the future is polled, which must be on a tokio
    /// `LocalSet`.
    pub async fn accept<S: Service>(self: &Rc<Self>, listener: TcpListener, service: Rc<S>) {
        loop {
            match self.next_stream(&listener).await {
                Ok(stream) => {
                    let opened_after = self.backlog.latest_mark();
                    self.wait_for_room().await;
                    let (number, connection) = self.add(stream, opened_after);
                    spawn_local(self.clone().serve(number, connection, service.clone()));
                }
                Err(error) => {
                    service.accept_failed(&error);
                    self.make_room();
                    sleep(self.options.get().accept_retry_delay).await;
                }
            }
        }
    }

    /// Accepts a connection. Looks whether the kernel's queue is empty if the service has set a mark since.
    async fn next_stream(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        loop {
            if let Some(mark) = self.backlog.unobserved_mark() {
                match accept_waiting(listener)? {
                    Some(stream) => return Ok(stream),
                    None => self.backlog.record_empty(mark),
                }
            }
            tokio::select! {
                accepted = listener.accept() => return accepted.map(|(stream, _)| stream),
                () = self.backlog.mark_set() => {}
            }
        }
    }

    /// Waits until an accepted connection may be served. It may already carry a request, which would be lost if it were
    /// closed. Beyond the maximum, it is held, and others wait in the kernel's queue, until another connection has
    /// closed. Nothing is closed before a new connection needs the room.
    async fn wait_for_room(&self) {
        loop {
            let ConnectionOptions { max_connections, accept_retry_delay, .. } = self.options.get();
            if self.open_count() < max_connections {
                return;
            }
            self.make_room();
            let _ = timeout(accept_retry_delay, self.closed.notified()).await;
        }
    }

    /// Starts to drain without closing idle connections yet. From now on, the service should send
    /// `Connection: close` in its responses.
    pub fn set_draining(&self) {
        self.draining.set(true);
    }

    /// Starts to drain and closes idle connections.
    pub fn drain(&self) {
        self.set_draining();
        // On a connection without any request so far, the first request is most likely on its way.
        for connection in self.connections.borrow().values().filter(|connection| connection.has_requested()) {
            connection.request_close();
        }
    }

    /// Closes connections as they become idle, until there is none left, and none in the kernel's queue.
    pub async fn all_closed(&self) {
        let ConnectionOptions { idle_grace, accept_retry_delay, .. } = self.options.get();
        let mut empty_rounds = 0;
        while empty_rounds < EMPTY_ROUNDS {
            for connection in
                self.connections.borrow().values().filter(|connection| connection.is_idle(idle_grace))
            {
                connection.request_close();
            }
            sleep(accept_retry_delay).await;
            empty_rounds = if self.open_count() == 0 { empty_rounds + 1 } else { 0 };
        }
    }

    /// Closes connections that have been idle for `idle_timeout`, and connections on which the head of a
    /// request is still incomplete `header_timeout` after a call of this method first found a part of it.
    pub fn close_slow(&self, idle_timeout: Duration, header_timeout: Duration) {
        let connections = self.connections.borrow();
        for connection in connections.values().filter(|each| each.is_slow(idle_timeout, header_timeout)) {
            connection.abort();
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Closes the connection whose client has read nothing of a complete response for the longest time, at least
    /// for [`ConnectionOptions::write_stall_grace`]. Frees what the response holds. Returns whether there is one.
    pub fn close_most_stalled_response(&self) -> bool {
        self.close_most_stalled(ServerConnection::is_writing)
    }

    /// Closes the connection whose client has read nothing for the longest time, among those that `may_close`.
    /// Returns whether there is one.
    fn close_most_stalled(&self, may_close: impl Fn(&ServerConnection) -> bool) -> bool {
        let grace = self.options.get().write_stall_grace;
        let connections = self.connections.borrow();
        let closable = connections.values().filter(|each| may_close(each));
        let stalled = closable.filter_map(|each| Some((each.stalled_since()?, each)));
        let stalled = stalled.filter(|(since, _)| since.elapsed() > grace);
        let Some((_, connection)) = stalled.min_by_key(|(since, _)| *since) else { return false };
        connection.close_now();
        true
    }

    /// Makes room for a connection: asks the connection that should be closed first to close. If all are busy,
    /// closes one whose client does not read its response, or has not sent its request.
    fn make_room(&self) {
        let _ = self.close_most_idle() || self.close_most_stalled(|_| true) || self.close_slowest_request();
    }

    /// Closes the connection whose request has been arriving for longest, at least for
    /// [`ConnectionOptions::receive_grace`]. Returns whether there is one.
    fn close_slowest_request(&self) -> bool {
        let Some(grace) = self.options.get().receive_grace else { return false };
        let connections = self.connections.borrow();
        let receiving = connections.values().filter_map(|each| Some((each.receiving_since()?, each)));
        let receiving = receiving.filter(|(since, _)| since.elapsed() > grace);
        let Some((_, connection)) = receiving.min_by_key(|(since, _)| *since) else { return false };
        connection.close_now();
        true
    }

    /// Asks the connection that should be closed first to close. Returns whether any may be closed, now or once the grace
    /// of a connection without a request is over.
    fn close_most_idle(&self) -> bool {
        let options = self.options.get();
        let connections = self.connections.borrow();
        let is_room_expected = options.first_request_grace < options.idle_grace
            && connections.values().any(|each| each.awaits_first_request());
        let ranked = connections.values().filter_map(|each| Some((each.close_rank(&options)?, each)));
        let closable = ranked.filter(|(_, each)| !(is_room_expected && each.has_requested()));
        let Some((_, connection)) = closable.min_by_key(|(rank, _)| *rank) else { return is_room_expected };
        connection.request_close();
        true
    }

    /// Adds an accepted connection, which counts as open from now on, and was opened after the mark `opened_after`.
    /// Returns its number.
    fn add(&self, stream: TcpStream, opened_after: u64) -> (u64, Rc<ServerConnection>) {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let (socket, options) = (Socket::new(stream), self.options.get());
        let connection = ServerConnection::new(socket, options, self.backlog.clone(), opened_after);
        let connection = Rc::new(connection);
        self.connections.borrow_mut().insert(number, connection.clone());
        (number, connection)
    }

    async fn serve<S: Service>(
        self: Rc<Self>,
        number: u64,
        connection: Rc<ServerConnection>,
        service: Rc<S>,
    ) {
        if connection.serve(&service, &self.draining).await == ServeEnd::Linger {
            connection.linger().await;
        }
        self.connections.borrow_mut().remove(&number);
        self.closed.notify_one();
    }
}

/// Accepts a connection that waits in the kernel's queue; `None` if there is none. `TcpListener::accept` does not tell:
/// it asks the kernel only once it has been told of a new connection.
fn accept_waiting(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    match SockRef::from(listener).accept() {
        Ok((socket, _)) => {
            socket.set_nonblocking(true)?;
            TcpStream::from_std(socket.into()).map(Some)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}
