"""Experiments with the policy under load, around the real routing library."""
