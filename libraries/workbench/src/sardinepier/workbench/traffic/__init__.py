"""Sends requests as callers would and counts what became of them."""
