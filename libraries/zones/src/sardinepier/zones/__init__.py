"""Carriers of a zone's traffic, and the exchange of state between daemons."""
