"""Sends requests as callers would and counts their outcomes."""
