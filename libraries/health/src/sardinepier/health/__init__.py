"""Detects failing targets, ejects them above the floor and readmits them."""
