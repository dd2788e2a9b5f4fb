"""Helpers of the routing library; not part of its interface."""
