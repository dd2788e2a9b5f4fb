"""Measures the latency that one daemon adds to each request."""
