"""Experiments, load, fault cases and benchmarks over the real libraries and daemons."""
