"""Bytes between availability zones, by kind of message, in virtual time."""
