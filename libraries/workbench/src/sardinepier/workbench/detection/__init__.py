"""Detection time against false ejections, by a seeded discrete-event driver."""
