//! Part of the router fleet; filled in by its first change.
