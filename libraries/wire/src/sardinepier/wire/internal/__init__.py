"""Helpers of the wire library; not part of its interface."""
