//! Behaviour of whole deployments: real routers, stand-ins for everything else.

mod today;
