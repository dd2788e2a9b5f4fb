"""Detection time against false ejections, in a discrete-event simulation."""
