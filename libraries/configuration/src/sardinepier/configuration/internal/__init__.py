"""Helpers of the configuration library; not part of its interface."""
