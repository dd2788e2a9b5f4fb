"""JSON-lines logs, histogram metrics and the event timeline."""
