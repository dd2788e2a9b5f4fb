"""Helpers of the settings library; not part of its interface."""
