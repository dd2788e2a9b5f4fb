"""The request path of an entry instance, which routes by host and prefix."""
