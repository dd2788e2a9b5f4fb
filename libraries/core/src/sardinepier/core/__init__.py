"""Ids, clocks, error root, outcomes and rendezvous hashing shared by every library."""
