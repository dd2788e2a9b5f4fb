"""Ids, clocks, base errors, outcomes and rendezvous hashing for all libraries."""
