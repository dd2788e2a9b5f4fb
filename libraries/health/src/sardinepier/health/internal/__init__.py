"""Internals of the health library; not part of its interface."""
