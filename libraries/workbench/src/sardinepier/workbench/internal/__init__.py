"""Helpers of the workbench library; not part of its interface."""
