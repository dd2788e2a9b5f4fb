"""Typed messages between daemons over pyzmq."""
