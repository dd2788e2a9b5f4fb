"""Helpers of the platform library; not part of its interface."""
