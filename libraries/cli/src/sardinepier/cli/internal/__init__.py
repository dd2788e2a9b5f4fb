"""Helpers of the cli library; not part of its interface."""
