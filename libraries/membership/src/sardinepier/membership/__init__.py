"""Fleet membership: liveness of daemons, and the group that serves a service."""
