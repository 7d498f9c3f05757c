//! A loopback proxy whose link can be slow, cut or reset.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay of each read on a slow link.
const SLOW: Duration = Duration::from_millis(80);

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Passes everything on.
    Up,
    /// Passes everything on late.
    Slow,
    /// Holds everything, and passes it on once it is up again.
    Held,
    /// Loses what the server says; such connections are reset once it is up again.
    Deaf,
    /// Loses what the client says; likewise.
    Mute,
    /// Resets connections, old and new.
    Reset,
}

/// The way that bytes take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    ToServer,
    ToClient,
}

impl Link {
    fn holds(self, way: Way) -> bool {
        match self {
            Self::Up | Self::Slow | Self::Reset => false,
            Self::Held => true,
            Self::Deaf => way == Way::ToClient,
            Self::Mute => way == Way::ToServer,
        }
    }
}

/// A proxy.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
}

impl Proxy {
    /// Starts a proxy before `server`.
    pub async fn new(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (link, seen) = watch::channel(Link::Up);
        tokio::task::spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::task::spawn_local(relay(client, server, seen.clone()));
            }
        });
        Self { address, link }
    }

    /// Switches what the link does.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Resets all connections there are.
    pub fn cut(&self) {
        self.set(Link::Reset);
    }
}

async fn relay(client: TcpStream, server: SocketAddr, link: watch::Receiver<Link>) {
    if *link.borrow() == Link::Reset {
        // Nobody reads the result: the connection ends either way.
        let _ = client.set_zero_linger();
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let there = copy(from_client, &to_server, link.clone(), Way::ToServer);
    let back = copy(from_server, &to_client, link, Way::ToClient);
    let is_reset = tokio::try_join!(there, back).is_err();
    if is_reset {
        let _ = to_client.as_ref().set_zero_linger();
        let _ = to_server.as_ref().set_zero_linger();
    }
}

/// Copies until the end of `from`; fails when the connection is to be reset.
async fn copy(
    mut from: OwnedReadHalf,
    to: &OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    way: Way,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = tokio::select! {
            count = from.read(&mut buffer) => count?,
            () = until_reset(&mut link) => return Err(io::ErrorKind::ConnectionReset.into()),
        };
        hold(&mut link, way).await?;
        if count == 0 {
            return shut(to);
        }
        write_all(to, &buffer[..count]).await?;
    }
}

async fn until_reset(link: &mut watch::Receiver<Link>) {
    // The sender lives as long as the run.
    let _ = link.wait_for(|link| *link == Link::Reset).await;
}

/// Waits as long as the link holds what goes this way.
async fn hold(link: &mut watch::Receiver<Link>, way: Way) -> io::Result<()> {
    let mut is_lost = false;
    loop {
        let now = *link.borrow_and_update();
        if now == Link::Reset || is_lost && !now.holds(way) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if !now.holds(way) {
            if now == Link::Slow {
                tokio::time::sleep(SLOW).await;
            }
            return Ok(());
        }
        is_lost |= now != Link::Held;
        if link.changed().await.is_err() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    }
}

async fn write_all(to: &OwnedWriteHalf, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn shut(to: &OwnedWriteHalf) -> io::Result<()> {
    socket2::SockRef::from(to.as_ref()).shutdown(std::net::Shutdown::Write)
}
