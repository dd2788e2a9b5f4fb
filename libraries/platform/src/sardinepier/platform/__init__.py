"""The published configuration and instance list, read and watched over HTTP."""
