//! The listening socket and its graceful end.
//!
//! A shutdown goes through three phases ([`Phase`]): *serving* while the
//! balancer may still send callers; *refusing*, in which requests that were
//! let in finish, idle connections get their last answer, and whoever still
//! comes is told "not run"; *closed*, when nothing runs any more. Refusing in
//! place of closing the socket at once matters: a closed port resets
//! connections that the kernel had already taken, and their callers could not
//! tell whether their requests ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

use super::connection;
use crate::shared::Shared;

/// Time for which callers that came during the shutdown may take to read
/// their refusals.
const LAST_REFUSALS: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted, for want of descriptors as
/// a rule: trying again at once would only burn the processor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How far the port is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Requests are let in.
    Serving,
    /// Requests are refused; those let in before finish.
    Refusing,
    /// No connection is accepted.
    Closed,
}

/// Held by every connection; all are gone when the channel closes.
type Token = mpsc::Sender<()>;

/// A running callers' port.
pub struct Port {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    served: mpsc::Receiver<()>,
    refused: mpsc::Receiver<()>,
}

impl Port {
    /// Starts serving.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn new(shared: Arc<Shared>) -> Result<Self> {
        let listen = shared.settings.listen.callers.clone();
        let listener = TcpListener::bind(&listen)
            .await
            .with_context(|| format!("listen.callers: bind {listen}"))?;
        let address = listener.local_addr()?;
        let (phase, following) = watch::channel(Phase::Serving);
        let (serving, served) = mpsc::channel(1);
        let (refusing, refused) = mpsc::channel(1);
        let most = shared
            .settings
            .limits
            .connections
            .min(Semaphore::MAX_PERMITS);
        let acceptor = Acceptor {
            open: Arc::new(Semaphore::new(most)),
            shared,
            listener,
            phase: following,
        };
        tokio::spawn(acceptor.run(serving, refusing));
        Ok(Self {
            address,
            phase,
            served,
            refused,
        })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new requests and waits until those let in have ended; returns
    /// whether all of them did within the time.
    pub async fn finish(mut self, within: Duration) -> bool {
        self.phase.send_replace(Phase::Refusing);
        let served = tokio::time::timeout(within, self.served.recv()).await;
        self.phase.send_replace(Phase::Closed);
        let _ = tokio::time::timeout(LAST_REFUSALS, self.refused.recv()).await;
        served.is_ok()
    }
}

struct Acceptor {
    shared: Arc<Shared>,
    listener: TcpListener,
    phase: watch::Receiver<Phase>,
    open: Arc<Semaphore>,
}

impl Acceptor {
    async fn run(mut self, serving: Token, refusing: Token) {
        self.accept_during(Phase::Serving, serving).await;
        self.accept_during(Phase::Refusing, refusing.clone()).await;
        // Connections that the kernel has taken would be reset with the port.
        while let Some(Ok((stream, _))) = self.accept_waiting().await {
            self.serve(stream, refusing.clone());
        }
    }

    async fn accept_during(&mut self, during: Phase, token: Token) {
        loop {
            let accepted = tokio::select! {
                biased;
                _ = self.phase.wait_for(|phase| *phase != during) => return,
                accepted = self.listener.accept() => accepted,
            };
            if let Ok((stream, _)) = accepted {
                self.serve(stream, token.clone());
            } else {
                self.shared.metrics.count("callers.accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    async fn accept_waiting(&self) -> Option<std::io::Result<(TcpStream, SocketAddr)>> {
        tokio::time::timeout(Duration::ZERO, self.listener.accept())
            .await
            .ok()
    }

    fn serve(&self, stream: TcpStream, token: Token) {
        let Ok(open) = Arc::clone(&self.open).try_acquire_owned() else {
            // A typed refusal in place of a wait in the kernel's queue, whose
            // length no caller knows.
            self.shared.metrics.count("callers.over_connections");
            tokio::spawn(connection::refuse(stream));
            return;
        };
        let connection = connection::run(Arc::clone(&self.shared), stream, self.phase.clone());
        tokio::spawn(async move {
            connection.await;
            drop((token, open));
        });
    }
}
