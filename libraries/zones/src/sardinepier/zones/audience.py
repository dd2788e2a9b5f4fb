"""Whom of its zone a carrier tells what, and how often."""

from sardinepier.zones import carriers, ranking


def fellows(chosen: carriers.Carriers) -> ranking.Members:
    """Return the other daemons of the own zone that carry it."""
    carrying = set(chosen.of_own_zone())
    return tuple(one for one in chosen.neighbours() if one in carrying)


def followers(chosen: carriers.Carriers) -> ranking.Members:
    """Return the other daemons of the own zone that don't carry it."""
    carrying = set(chosen.of_own_zone())
    return tuple(one for one in chosen.neighbours() if one not in carrying)
