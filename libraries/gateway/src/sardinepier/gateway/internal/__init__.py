"""Helpers of the gateway library; not part of its interface."""
