//! Resident size of idle routers.
//!
//! Deployments are started beside each other and none is ended, so that what one has given back
//! does not hide what the next one takes. The stand-ins of each are counted with its routers, so a
//! figure is rather too large.

use crate::deployment::Deployment;
use crate::measure::control::fit::Line;
use crate::measure::control::size::Size;
use crate::measure::control::size::BASE;
use crate::measure::process;
use crate::measure::Result;

/// Routers of the deployments that are started beside each other.
const ROUTERS: [usize; 4] = [1, 3, 5, 6];
/// Accounts of further ones.
const ACCOUNTS: [usize; 3] = [30, 150, 450];
/// Servers of further ones.
const SERVERS: [usize; 3] = [30, 75, 150];
/// Routers of each of the further ones.
const EACH: usize = 3;

/// Bytes of a router, and of each thing that it knows.
#[derive(Debug, Clone, Copy)]
pub(super) struct Memory {
    /// Over the count of routers.
    pub(super) router: Line,
    /// A router, over the accounts.
    pub(super) account: Line,
    /// A router, over the servers.
    pub(super) server: Line,
}

/// Starts deployments and reads how this process grows.
pub(super) fn measure() -> Result<Memory> {
    let mut held = Vec::new();
    let small = Size {
        servers: 5,
        accounts: 16,
        ..BASE
    };
    let mut points = vec![(0.0, process::resident()? as f64)];
    let mut routers = 0;
    for count in ROUTERS {
        held.push(Deployment::start(
            Size {
                routers: count,
                ..small
            }
            .shape(),
        )?);
        routers += count;
        points.push((routers as f64, process::resident()? as f64));
    }
    print("routers", &points);
    let router = Line::fit(&points);
    let three = Size {
        routers: EACH,
        ..small
    };
    let mut account = Vec::new();
    for accounts in ACCOUNTS {
        let grown = grown(&mut held, Size { accounts, ..three })?;
        account.push((accounts as f64, grown));
    }
    print("accounts", &account);
    let mut server = Vec::new();
    for servers in SERVERS {
        let grown = grown(&mut held, Size { servers, ..three })?;
        server.push((servers as f64, grown));
    }
    print("servers", &server);
    Ok(Memory {
        router,
        account: Line::fit(&account),
        server: Line::fit(&server),
    })
}

/// Starts one more deployment, and returns how many bytes each of its routers has added.
fn grown(held: &mut Vec<Deployment>, size: Size) -> Result<f64> {
    let before = process::resident()? as f64;
    held.push(Deployment::start(size.shape())?);
    Ok((process::resident()? as f64 - before) / size.routers as f64)
}

fn print(what: &str, points: &[(f64, f64)]) {
    for (count, bytes) in points {
        println!("# memory, {count} {what}: {:.2} MB", bytes / 1e6);
    }
}
