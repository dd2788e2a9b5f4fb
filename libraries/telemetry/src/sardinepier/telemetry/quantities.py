"""The type of measured numbers in events."""

Quantity = float | None
"""A number, or None where it is not finite.

JSON has no infinity, so a likelihood ratio that overflowed is written as null.
If the decoder rejected null, one such event would make a daemon's whole
timeline unreadable.
"""
