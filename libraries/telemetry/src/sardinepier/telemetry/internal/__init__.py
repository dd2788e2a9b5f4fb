"""Internal modules of the telemetry library, not part of its API."""
