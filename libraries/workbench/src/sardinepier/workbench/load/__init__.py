"""Simulates the routing policy under load, with the real routing library."""
