"""Keys, homes and the record of non-idempotent requests."""
