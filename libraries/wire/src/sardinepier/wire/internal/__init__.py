"""Internal modules of the wire library, not part of its API."""
