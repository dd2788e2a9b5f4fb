"""The command-line tool ``sardinepier``."""
