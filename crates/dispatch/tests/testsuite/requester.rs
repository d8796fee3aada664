//! The requester alone: bounds, deadlines, leases, re-registration.
