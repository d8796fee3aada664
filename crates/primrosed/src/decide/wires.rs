//! Interface of the deciding thread to the links to other routers.

use std::net::SocketAddr;

use primrose_core::id::HostId;
use primrose_link::Endpoint;

use crate::message::PeerMessage;

/// Links to other routers.
///
/// No method blocks, and a message that cannot be sent is dropped: the protocols above resend their
/// current state periodically instead of relying on any single message.
pub(crate) trait PeerLinks: Send {
    /// Sends a message over the link to a host.
    fn send(&self, host: &HostId, message: &PeerMessage);

    /// Starts dialing a host, and redials it whenever the link is down.
    fn connect(&self, host: &HostId, addr: SocketAddr);

    /// Starts dialing a seed address, whose host is not known yet.
    fn connect_seed(&self, addr: SocketAddr);

    /// Stops dialing a seed address.
    fn disconnect_seed(&self, addr: SocketAddr);

    /// Stops dialing a host and closes its link.
    fn disconnect(&self, host: &HostId);
}

impl PeerLinks for std::sync::Arc<Endpoint<PeerMessage>> {
    fn send(&self, host: &HostId, message: &PeerMessage) {
        if let Err(error) = Endpoint::send(self, host, message) {
            log::debug!(host = host.as_str(); "failed to send to a peer: {error}");
        }
    }

    fn connect(&self, host: &HostId, addr: SocketAddr) {
        Endpoint::connect(self, host, addr);
    }

    fn connect_seed(&self, addr: SocketAddr) {
        Endpoint::connect_seed(self, addr);
    }

    fn disconnect_seed(&self, addr: SocketAddr) {
        Endpoint::disconnect_seed(self, addr);
    }

    fn disconnect(&self, host: &HostId) {
        Endpoint::disconnect(self, host);
    }
}
