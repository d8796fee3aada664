//! A small HTTP server whose listener and connections can be closed at any time.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::watch;

use crate::http::Reply;
use crate::runtime::Runtime;

/// Maximum time to wait for the sockets to close or for the address to become free.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two checks of the sockets or the address.
const SOCKET_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Future of a reply; `None` closes the connection without a reply.
pub(crate) type ReplyFuture = Pin<Box<dyn Future<Output = Option<Reply>> + Send>>;

/// Handler of a server's requests.
pub(crate) trait Service: Send + Sync + 'static {
    /// Handles one request; the future is dropped if the client disconnects.
    fn call(self: Arc<Self>, request: Request<Incoming>) -> ReplyFuture;
}

/// Closes a server's sockets without waiting, so that its service can use it as well.
pub(crate) struct Switch {
    listening: watch::Sender<bool>,
    /// Number of cuts; a connection closes when this changes.
    cuts: watch::Sender<u64>,
}

impl Switch {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            listening: watch::Sender::new(true),
            cuts: watch::Sender::new(0),
        })
    }

    /// Cuts every connection.
    pub(crate) fn cut(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Closes the listener and cuts every connection.
    pub(crate) fn close(&self) {
        self.listening.send_replace(false);
        self.cut();
    }
}

/// State that all tasks of a server share.
struct Shared {
    service: Arc<dyn Service>,
    switch: Arc<Switch>,
    sockets: AtomicUsize,
}

/// A listening server; closed when dropped.
pub(crate) struct Server {
    addr: SocketAddr,
    handle: Handle,
    shared: Arc<Shared>,
    reopening: Mutex<()>,
}

impl Server {
    /// Starts to listen on the address; port 0 selects a free port.
    pub(crate) fn start(
        runtime: &Runtime,
        listen: SocketAddr,
        service: Arc<dyn Service>,
        switch: Arc<Switch>,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        let addr = listener.local_addr()?;
        let server = Self {
            addr,
            handle: runtime.handle().clone(),
            shared: Arc::new(Shared {
                service,
                switch,
                sockets: AtomicUsize::new(0),
            }),
            reopening: Mutex::new(()),
        };
        server.listen(listener)?;
        Ok(server)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes every connection and waits until the sockets are closed.
    pub(crate) fn cut(&self) {
        self.shared.switch.cut();
        let listening = usize::from(*self.shared.switch.listening.borrow());
        self.wait_for_sockets(listening);
    }

    /// Closes the listener and every connection, and waits until the sockets are closed.
    pub(crate) fn close(&self) {
        self.shared.switch.close();
        self.wait_for_sockets(0);
    }

    /// Listens on the same address again; does nothing if already listening.
    pub(crate) fn reopen(&self) -> io::Result<()> {
        let _guard = self.reopening.lock().expect("server lock poisoned");
        if *self.shared.switch.listening.borrow() {
            return Ok(());
        }
        self.wait_for_sockets(0);
        let end = Instant::now() + SOCKET_TIMEOUT;
        let listener = loop {
            match std::net::TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > end => return Err(error),
                Err(_) => thread::sleep(SOCKET_POLL_INTERVAL),
            }
        };
        self.shared.switch.listening.send_replace(true);
        self.listen(listener)
    }

    fn listen(&self, listener: std::net::TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let _context = self.handle.enter();
        let listener = TcpListener::from_std(listener)?;
        let guard = SocketGuard::new(self.shared.clone());
        self.handle.spawn(accept(listener, guard));
        Ok(())
    }

    fn wait_for_sockets(&self, sockets: usize) {
        let end = Instant::now() + SOCKET_TIMEOUT;
        while self.shared.sockets.load(Ordering::SeqCst) > sockets && Instant::now() < end {
            thread::sleep(SOCKET_POLL_INTERVAL);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.switch.close();
    }
}

/// Counts one open socket until dropped.
struct SocketGuard {
    shared: Arc<Shared>,
}

impl SocketGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.sockets.fetch_add(1, Ordering::SeqCst);
        Self { shared }
    }
}

impl Drop for SocketGuard {
    fn drop(&mut self) {
        self.shared.sockets.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, guard: SocketGuard) {
    let shared = guard.shared.clone();
    let mut listening = shared.switch.listening.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = listening.wait_for(|open| !open) => break,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            let cuts = shared.switch.cuts.subscribe();
            let guard = SocketGuard::new(shared.clone());
            tokio::spawn(serve(stream, cuts, guard));
        }
    }
    drop(listener);
    drop(guard);
}

async fn serve(stream: TcpStream, mut cuts: watch::Receiver<u64>, guard: SocketGuard) {
    let _ = stream.set_nodelay(true);
    let service = guard.shared.service.clone();
    let answer = service_fn(move |request| {
        let answer = service.clone().call(request);
        async move {
            let withheld = || io::Error::other("reply withheld by the stand-in");
            answer.await.ok_or_else(withheld)
        }
    });
    {
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
        tokio::select! {
            biased;
            _ = cuts.changed() => (),
            _ = connection => (),
        }
    }
    drop(guard);
}
