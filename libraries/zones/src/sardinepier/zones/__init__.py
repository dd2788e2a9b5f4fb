"""Who carries a zone's traffic, and what its daemons tell each other."""
