"""Distributes the published configuration files to every daemon."""
