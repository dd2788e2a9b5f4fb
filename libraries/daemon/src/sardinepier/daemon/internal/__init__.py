"""Helpers of the daemon library; not part of its interface."""
