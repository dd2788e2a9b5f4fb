"""Helpers of the telemetry library; not part of its interface."""
