"""Measured numbers in events."""

Quantity = float | None
"""A number, or None where it is not finite.

JSON has no infinity: a likelihood ratio that overflowed is written as null.
Were null not allowed on the way back, one such event would make a daemon's
whole time line unreadable.
"""
