"""Internal modules of the platform library, not part of its API."""
