"""INI files in, one checked immutable snapshot per file out."""
