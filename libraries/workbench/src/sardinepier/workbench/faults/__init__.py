"""Breaks a small fleet of real processes in known ways."""
