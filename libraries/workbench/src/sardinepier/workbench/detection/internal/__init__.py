"""Helpers of the detection experiment."""
