"""Parses INI settings files into validated, immutable snapshots."""
