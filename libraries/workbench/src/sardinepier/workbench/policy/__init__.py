"""Emulates the decisions of entry instances in virtual time."""
