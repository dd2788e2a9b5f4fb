"""Which daemons are alive, leaving or dead, and which group serves a service."""
