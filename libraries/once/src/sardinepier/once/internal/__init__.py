"""Helpers of the once library; not part of its interface."""
