//! A small HTTP server whose listener and connections can be cut at any time.

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

/// How long a stand-in waits for its own sockets to close or its address to be free again.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Pause between two looks at that.
const SETTLE_PAUSE: Duration = Duration::from_millis(1);

/// What a service gives: a reply, or nothing, which cuts the connection.
pub(crate) type Answer = Pin<Box<dyn Future<Output = Option<Reply>> + Send>>;

/// Answers requests.
pub(crate) trait Service: Send + Sync + 'static {
    /// Begins to answer one request; dropped when the caller goes away.
    fn call(self: Arc<Self>, request: Request<Incoming>) -> Answer;
}

/// Cuts a server's sockets without waiting, from inside its service too.
pub(crate) struct Switch {
    listening: watch::Sender<bool>,
    /// Grows with every cut; a connection lives only while it stays the same.
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

/// What every task of a server sees.
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
    /// Listens on the address; port 0 takes any free one.
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

    /// Cuts every connection and waits until the sockets are closed.
    pub(crate) fn cut(&self) {
        self.shared.switch.cut();
        let listening = usize::from(*self.shared.switch.listening.borrow());
        self.settle(listening);
    }

    /// Closes the listener, cuts every connection and waits until the sockets are closed.
    pub(crate) fn close(&self) {
        self.shared.switch.close();
        self.settle(0);
    }

    /// Listens on the same address again; no effect while listening.
    pub(crate) fn reopen(&self) -> io::Result<()> {
        let _guard = self.reopening.lock().expect("server lock poisoned");
        if *self.shared.switch.listening.borrow() {
            return Ok(());
        }
        self.settle(0);
        let end = Instant::now() + SETTLE_TIME;
        let listener = loop {
            match std::net::TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > end => return Err(error),
                Err(_) => thread::sleep(SETTLE_PAUSE),
            }
        };
        self.shared.switch.listening.send_replace(true);
        self.listen(listener)
    }

    fn listen(&self, listener: std::net::TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let _context = self.handle.enter();
        let listener = TcpListener::from_std(listener)?;
        let counted = Counted::new(self.shared.clone());
        self.handle.spawn(accept(listener, counted));
        Ok(())
    }

    fn settle(&self, sockets: usize) {
        let end = Instant::now() + SETTLE_TIME;
        while self.shared.sockets.load(Ordering::SeqCst) > sockets && Instant::now() < end {
            thread::sleep(SETTLE_PAUSE);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.switch.close();
    }
}

/// Counts one open socket for as long as it lives.
struct Counted {
    shared: Arc<Shared>,
}

impl Counted {
    fn new(shared: Arc<Shared>) -> Self {
        shared.sockets.fetch_add(1, Ordering::SeqCst);
        Self { shared }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.shared.sockets.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, counted: Counted) {
    let shared = counted.shared.clone();
    let mut listening = shared.switch.listening.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = listening.wait_for(|open| !open) => break,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            let cuts = shared.switch.cuts.subscribe();
            let counted = Counted::new(shared.clone());
            tokio::spawn(serve(stream, cuts, counted));
        }
    }
    drop(listener);
    drop(counted);
}

async fn serve(stream: TcpStream, mut cuts: watch::Receiver<u64>, counted: Counted) {
    let _ = stream.set_nodelay(true);
    let service = counted.shared.service.clone();
    let answer = service_fn(move |request| {
        let answer = service.clone().call(request);
        async move {
            let lost = || io::Error::other("reply withheld by the stand-in");
            answer.await.ok_or_else(lost)
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
    drop(counted);
}
