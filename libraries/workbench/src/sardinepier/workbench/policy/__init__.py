"""The decisions of entry instances, played in virtual time without sockets."""
