"""sardinepierd: the daemon that composes the libraries."""
