"""Internals of the standins library, not part of its interface."""
