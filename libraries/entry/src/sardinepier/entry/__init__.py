"""Serving hosts and prefixes: the request path of an entry instance."""
