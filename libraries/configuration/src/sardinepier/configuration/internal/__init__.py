"""Internal modules of the configuration library; not a public API."""
