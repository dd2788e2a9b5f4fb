"""Keeps the newest accepted revision of every file in force on every daemon."""
