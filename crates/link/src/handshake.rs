//! Mutual authentication of two routers by a shared key.
//!
//! The handshake has three messages, implemented as pure steps without a socket:
//!
//! 1. the dialing side sends a `Hello`: protocol version, identity and a fresh nonce;
//! 2. the accepting side answers with its own `Hello` and a proof;
//! 3. the dialing side sends its proof.
//!
//! A proof is an HMAC-SHA256 over a label that names the side and over both hellos. It is therefore
//! bound to the two identities, the two nonces and the direction: a recorded proof is useless on
//! another connection, and a side cannot be made to answer its own challenge. The accepting side
//! signs with its first key; the dialing side finds the matching one among its accepted keys, and
//! both derive the frame keys from it. The proof of the dialing side may use another key.
//!
//! Holders of the key can claim any host name: the key says that a peer belongs to the fleet, not
//! which host it is.

use std::net::SocketAddr;

use hmac::Mac;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use snafu::ensure;
use snafu::OptionExt;
use snafu::Snafu;
use subtle::ConstantTimeEq;

use crate::frame::Opener;
use crate::frame::Sealer;
use crate::key::HmacSha256;
use crate::key::Key;
use crate::key::Keys;

/// Version of the protocol between routers; both sides must have the same.
pub const PROTOCOL_VERSION: u16 = 1;
/// Largest handshake message, in bytes.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Longest host or zone name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Bytes of a nonce.
const NONCE_BYTES: usize = 32;
/// Bytes of a proof.
const PROOF_BYTES: usize = 32;

/// Random bytes used for a single connection.
pub type Nonce = [u8; NONCE_BYTES];
/// HMAC over a handshake.
type Proof = [u8; PROOF_BYTES];

/// Identity that a router claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The router process.
    pub member: Member,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens for peers.
    pub addr: SocketAddr,
}

/// Purpose of an HMAC; each has its own label, so that none is valid for another purpose.
#[derive(Debug, Clone, Copy)]
enum Purpose {
    ProveDialer,
    ProveAcceptor,
    FramesOfDialer,
    FramesOfAcceptor,
}

impl Purpose {
    /// Returns the label that goes into the HMAC.
    fn label(self) -> &'static [u8] {
        match self {
            Self::ProveDialer => b"primrose-link 1 proof of the dialer",
            Self::ProveAcceptor => b"primrose-link 1 proof of the acceptor",
            Self::FramesOfDialer => b"primrose-link 1 frames of the dialer",
            Self::FramesOfAcceptor => b"primrose-link 1 frames of the acceptor",
        }
    }
}

/// First message of a side.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Hello {
    version: u16,
    identity: Identity,
    nonce: Nonce,
}

/// Reply of the accepting side.
#[derive(Debug, Serialize, Deserialize)]
struct Welcome {
    hello: Hello,
    proof: Proof,
}

/// Last message, sent by the dialing side.
#[derive(Debug, Serialize, Deserialize)]
struct Finish {
    proof: Proof,
}

/// Failure of a handshake.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum HandshakeError {
    /// The bytes are not a valid handshake message.
    #[snafu(display("undecodable handshake message: {cause}"))]
    Undecodable {
        /// Error of the decoder.
        cause: String,
    },
    /// The message exceeds the size limit.
    #[snafu(display("handshake message of {bytes} bytes is too large"))]
    TooLarge {
        /// Length of the message.
        bytes: usize,
    },
    /// A host or zone name exceeds the length limit or is empty.
    #[snafu(display("host or zone name is empty or too long"))]
    Name,
    /// The peer uses another protocol version.
    #[snafu(display("peer speaks protocol version {theirs}, not {PROTOCOL_VERSION}"))]
    Version {
        /// Version of the peer.
        theirs: u16,
    },
    /// The proof matches none of the accepted keys.
    #[snafu(display(
        "wrong peer key; compare the files that `peer-key-file` names on both hosts"
    ))]
    WrongKey,
    /// The peer is this router itself or claims its name.
    #[snafu(display("the peer has the name of this host"))]
    OwnName,
    /// Another host answered than the one that was dialed.
    #[snafu(display("host {got} answered in place of {expected}"))]
    WrongHost {
        /// The host that was dialed.
        expected: HostId,
        /// The host that answered.
        got: HostId,
    },
}

/// An authenticated connection.
#[derive(Debug)]
pub struct Session {
    /// The peer.
    pub peer: Identity,
    /// Seals outgoing frames.
    pub sealer: Sealer,
    /// Opens incoming frames.
    pub opener: Opener,
}

/// Handshake of the dialing side, which waits for the reply to its hello.
#[derive(Debug)]
pub struct DialerHandshake {
    hello: Hello,
    expected: Option<HostId>,
}

impl DialerHandshake {
    /// Starts a handshake; `expected` is the host that must answer, if it is known.
    pub fn new(me: Identity, expected: Option<HostId>, nonce: Nonce) -> Self {
        Self {
            hello: own_hello(me, nonce),
            expected,
        }
    }

    /// Returns the first message.
    pub fn first_message(&self) -> Vec<u8> {
        encode(&self.hello)
    }

    /// Verifies the reply and returns the last message and the session.
    ///
    /// # Errors
    /// [`HandshakeError`] if the peer is not the expected one or has not proved its key.
    pub fn finish(self, answer: &[u8], keys: &Keys) -> Result<(Vec<u8>, Session), HandshakeError> {
        let welcome: Welcome = decode(answer)?;
        check_hello(&welcome.hello, &self.hello)?;
        let got = &welcome.hello.identity.member.host;
        if let Some(expected) = self.expected {
            ensure!(*got == expected, WrongHostSnafu { expected, got });
        }
        let hellos = [&self.hello, &welcome.hello];
        let key = matching_key(keys, Purpose::ProveAcceptor, hellos, &welcome.proof)?;
        let proof = prove(keys.signing_key(), Purpose::ProveDialer, hellos);
        let session = Session {
            sealer: Sealer::new(frame_mac(key, Purpose::FramesOfDialer, hellos)),
            opener: Opener::new(frame_mac(key, Purpose::FramesOfAcceptor, hellos)),
            peer: welcome.hello.identity,
        };
        Ok((encode(&Finish { proof }), session))
    }
}

/// Handshake of the accepting side, which waits for the proof of the dialing side.
#[derive(Debug)]
pub struct AcceptorHandshake {
    theirs: Hello,
    ours: Hello,
}

impl AcceptorHandshake {
    /// Reads the first message.
    ///
    /// # Errors
    /// [`HandshakeError`] if the message is not acceptable.
    pub fn new(me: Identity, nonce: Nonce, first: &[u8]) -> Result<Self, HandshakeError> {
        let theirs: Hello = decode(first)?;
        let ours = own_hello(me, nonce);
        check_hello(&theirs, &ours)?;
        Ok(Self { theirs, ours })
    }

    /// Returns the identity that the dialing side claims, not yet proved.
    pub fn claimed_identity(&self) -> &Identity {
        &self.theirs.identity
    }

    /// Returns the reply to the first message.
    pub fn answer(&self, keys: &Keys) -> Vec<u8> {
        let hellos = [&self.theirs, &self.ours];
        encode(&Welcome {
            hello: self.ours.clone(),
            proof: prove(keys.signing_key(), Purpose::ProveAcceptor, hellos),
        })
    }

    /// Verifies the proof of the dialing side and returns the session.
    ///
    /// # Errors
    /// [`HandshakeError`] if the peer has not proved its key.
    pub fn finish(self, last: &[u8], keys: &Keys) -> Result<Session, HandshakeError> {
        let finish: Finish = decode(last)?;
        let hellos = [&self.theirs, &self.ours];
        matching_key(keys, Purpose::ProveDialer, hellos, &finish.proof)?;
        let key = keys.signing_key();
        Ok(Session {
            sealer: Sealer::new(frame_mac(key, Purpose::FramesOfAcceptor, hellos)),
            opener: Opener::new(frame_mac(key, Purpose::FramesOfDialer, hellos)),
            peer: self.theirs.identity,
        })
    }
}

/// Builds the hello of this side.
fn own_hello(identity: Identity, nonce: Nonce) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        identity,
        nonce,
    }
}

/// Checks the version and the names in the hello of the other side.
fn check_hello(theirs: &Hello, ours: &Hello) -> Result<(), HandshakeError> {
    let version = theirs.version;
    ensure!(
        version == PROTOCOL_VERSION,
        VersionSnafu { theirs: version }
    );
    let names = [&theirs.identity.member.host, &theirs.identity.zone];
    let fit = |name: &&String| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    ensure!(names.iter().all(fit), NameSnafu);
    let own = &ours.identity.member.host;
    ensure!(theirs.identity.member.host != *own, OwnNameSnafu);
    Ok(())
}

/// Computes the HMAC over both hellos for a purpose.
fn prove(key: &Key, purpose: Purpose, hellos: [&Hello; 2]) -> Proof {
    let mut mac = key.hmac();
    for part in [
        purpose.label(),
        &encode(hellos[0])[..],
        &encode(hellos[1])[..],
    ] {
        // The length prefix makes different splits of the same bytes distinct.
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}

/// Finds the accepted key that produced the proof.
fn matching_key<'a>(
    keys: &'a Keys,
    purpose: Purpose,
    hellos: [&Hello; 2],
    proof: &Proof,
) -> Result<&'a Key, HandshakeError> {
    let fits = |key: &&Key| bool::from(prove(key, purpose, hellos).ct_eq(proof));
    keys.accepted().iter().find(fits).context(WrongKeySnafu)
}

/// Derives the HMAC for the frames of one direction.
fn frame_mac(key: &Key, purpose: Purpose, hellos: [&Hello; 2]) -> HmacSha256 {
    let derived = prove(key, purpose, hellos);
    HmacSha256::new_from_slice(&derived).expect("an HMAC takes keys of any length")
}

/// Encodes a handshake message.
fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("plain fields always encode");
    bytes
}

/// Decodes a handshake message; only the encoding that [`encode`] produces is accepted.
fn decode<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Result<T, HandshakeError> {
    let length = bytes.len();
    ensure!(
        length <= MAX_HANDSHAKE_BYTES,
        TooLargeSnafu { bytes: length }
    );
    let message: T = match ciborium::from_reader(bytes) {
        Ok(message) => message,
        Err(e) => {
            let cause = e.to_string();
            return UndecodableSnafu { cause }.fail();
        }
    };
    // Proofs cover the re-encoded values; this check makes them cover the received bytes as well.
    let cause = "not in canonical form";
    ensure!(encode(&message) == bytes, UndecodableSnafu { cause });
    Ok(message)
}
