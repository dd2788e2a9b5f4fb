"""Measures what one daemon adds to each request."""
