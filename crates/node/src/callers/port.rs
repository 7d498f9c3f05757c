//! The listening socket of the callers' port and its graceful shutdown.
//!
//! A shutdown goes through three phases ([`Phase`]): *serving*, while the load
//! balancer may still send callers; *refusing*, in which admitted requests
//! finish, idle connections get a last reply and new requests are refused as
//! "not run"; *closed*, when no request runs any more. The socket is not closed
//! at once, because that resets connections which the kernel has already
//! accepted, and their callers could not tell whether their requests ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use fescuerack_gateway::net;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

use super::connection;
use crate::node_state::NodeState;

/// Time within which callers refused during the shutdown may read their
/// refusals.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failure to accept a connection, usually for lack of file
/// descriptors: retrying at once would only use processor time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Phase of the port's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Requests are accepted.
    Serving,
    /// Requests are refused; those accepted before finish.
    Refusing,
    /// No connection is accepted.
    Closed,
}

/// Held by every open connection; the channel closes when all have ended.
type Token = mpsc::Sender<()>;

/// A running callers' port.
pub struct Port {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    /// Closes when all connections of [`Phase::Serving`] have ended.
    served: mpsc::Receiver<()>,
    /// Closes when all connections of [`Phase::Refusing`] have ended.
    refused: mpsc::Receiver<()>,
}

impl Port {
    /// Binds the address and starts to serve.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn new(shared: Arc<NodeState>) -> Result<Self> {
        let listen = shared.settings.listen.callers.clone();
        let listener = TcpListener::bind(&listen)
            .await
            .with_context(|| format!("listen.callers: bind {listen}"))?;
        net::limit_unread(&listener);
        let address = listener.local_addr()?;
        let (phase, following) = watch::channel(Phase::Serving);
        let (serving, served) = mpsc::channel(1);
        let (refusing, refused) = mpsc::channel(1);
        let max_connections = shared
            .settings
            .limits
            .connections
            .min(Semaphore::MAX_PERMITS);
        let acceptor = Acceptor {
            open: Arc::new(Semaphore::new(max_connections)),
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

    /// Returns the address that the port listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new requests and waits until the accepted ones have ended; returns
    /// whether all of them did within `timeout`.
    pub async fn finish(mut self, timeout: Duration) -> bool {
        self.phase.send_replace(Phase::Refusing);
        let served = tokio::time::timeout(timeout, self.served.recv()).await;
        self.phase.send_replace(Phase::Closed);
        let _ = tokio::time::timeout(REFUSAL_TIMEOUT, self.refused.recv()).await;
        served.is_ok()
    }
}

struct Acceptor {
    shared: Arc<NodeState>,
    listener: TcpListener,
    phase: watch::Receiver<Phase>,
    open: Arc<Semaphore>,
}

impl Acceptor {
    async fn run(mut self, serving: Token, refusing: Token) {
        self.accept_during(Phase::Serving, serving).await;
        self.accept_during(Phase::Refusing, refusing.clone()).await;
        // Connections that the kernel has already accepted would be reset when
        // the socket is closed.
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
            // A typed refusal is better than a wait of unknown length in the
            // kernel's accept queue.
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
