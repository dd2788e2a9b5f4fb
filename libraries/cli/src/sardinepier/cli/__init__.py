"""sardinepier: the command-line tool."""
