"""Injects faults into a small fleet of real processes."""
