//! The environment of a command: output, key-value service, routers, waiting and randomness.
//!
//! There are no globals. `main` builds one [`Context`] from a [`Target`] and passes it to the
//! command; a test builds one from fakes.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use primrose_settings::operator::OperatorSettings;
use primrose_store::consul::ConsulConfig;
use primrose_store::consul::ConsulStore;
use primrose_store::store::Store;

use crate::exit::Failure;
use crate::ops::fleet::Fleet;
use crate::ops::http::HttpFleet;
use crate::ops::keys::Keys;
use crate::ops::random::Random;
use crate::ops::random::SystemRandom;
use crate::ops::sleep::Sleeper;
use crate::ops::sleep::ThreadSleeper;
use crate::shell::Shell;

/// The deployment that a command acts on, as given by its arguments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Target {
    /// Path of the settings file.
    pub settings: Option<PathBuf>,
    /// Addresses of the key-value service; override the settings file.
    pub platform: Vec<SocketAddr>,
    /// Prefix of all keys of the deployment; overrides the settings file.
    pub prefix: Option<String>,
    /// Addresses of the routers' operator listeners; override the settings file.
    pub routers: Vec<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
}

impl Target {
    /// Reads the settings file and overrides its values by the arguments.
    pub fn resolve(&self) -> Result<OperatorSettings, Failure> {
        let mut operator = match &self.settings {
            Some(path) => read_settings(path)?,
            None => OperatorSettings::default(),
        };
        if !self.platform.is_empty() {
            operator.addresses.clone_from(&self.platform);
        }
        if let Some(prefix) = &self.prefix {
            operator.prefix.clone_from(prefix);
        }
        if !self.routers.is_empty() {
            operator.routers.clone_from(&self.routers);
        }
        Ok(operator)
    }
}

fn read_settings(path: &Path) -> Result<OperatorSettings, Failure> {
    let name = path.display().to_string();
    let text = read_file(path)?;
    OperatorSettings::parse(&name, &text).map_err(Failure::bad_input)
}

/// Reads a file, or standard input for `-`.
pub fn read_file(path: &Path) -> Result<String, Failure> {
    let text = if path == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    let shown = path.display();
    text.map_err(|error| Failure::bad_input(format!("failed to read {shown}: {error}")))
}

/// Everything that a command needs besides its arguments.
pub struct Context {
    /// Output.
    pub shell: Shell,
    /// The key-value service, if its address is known.
    pub store: Option<Arc<dyn Store>>,
    /// Keys of the documents.
    pub keys: Keys,
    /// Client of the routers' operator listeners.
    pub fleet: Box<dyn Fleet>,
    /// Addresses of the routers' operator listeners; may be empty.
    pub routers: Vec<SocketAddr>,
    /// Waits between retries and polls.
    pub sleeper: Box<dyn Sleeper>,
    /// Generates change ids and bearer keys.
    pub random: Box<dyn Random>,
}

impl Context {
    /// Builds the context of a deployment, without opening a connection.
    pub fn open(target: &Target) -> Result<Self, Failure> {
        let operator = target.resolve()?;
        let store = (!operator.addresses.is_empty()).then(|| {
            let config = ConsulConfig::new(operator.addresses.clone());
            Arc::new(ConsulStore::new(config)) as Arc<dyn Store>
        });
        Ok(Self {
            shell: Shell::standard(target.json),
            store,
            keys: Keys::new(&operator.prefix),
            fleet: Box::new(HttpFleet::new()),
            routers: operator.routers,
            sleeper: Box::new(ThreadSleeper),
            random: Box::new(SystemRandom),
        })
    }

    /// Returns the key-value service, or a failure with a hint on how to give its address.
    pub fn store(&self) -> Result<&dyn Store, Failure> {
        self.store.as_deref().ok_or_else(|| {
            Failure::bad_input("no address of the key-value service is known")
                .hint("give --platform IP:PORT, or --settings FILE")
        })
    }

    /// Returns the addresses of the routers, or a failure with a hint on how to give them.
    pub fn routers(&self) -> Result<&[SocketAddr], Failure> {
        if self.routers.is_empty() {
            return Err(Failure::bad_input("no router is known")
                .hint("give --router IP:PORT of an operator listener, or --settings FILE"));
        }
        Ok(&self.routers)
    }
}
