"""Helpers of the membership library; not part of its interface."""
