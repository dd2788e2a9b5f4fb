"""Which services a daemon takes up, and when it gives them up."""

from sardinepier.membership import groups as membership_groups


def test_a_service_that_is_not_ours_is_dropped_when_unused(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=2)
    fleet.run(20)
    guest = next(one for one in fleet.daemons if not tuple(one.services))
    guest.services.get('deposits')
    fleet.run(300)
    assert tuple(guest.services)
    fleet.run(700)
    assert [len(tuple(one.services)) for one in fleet.daemons].count(1) == 2
    assert not tuple(guest.services)


def test_a_daemon_that_sees_itself_alone_at_first_takes_up_little(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=2)
    newcomer = next(
        one for one in fleet.daemons if not _is_in_group(fleet, one)
    )
    whole = newcomer.view.everyone
    newcomer.view.change((newcomer.own,))
    fleet.run(5)
    assert not tuple(newcomer.services)
    newcomer.view.change(whole)
    fleet.run(200)
    assert not tuple(newcomer.services)


def test_a_view_that_never_stands_still_is_used_all_the_same(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    for _ in range(70):
        fleet.run(1)
        for daemon in fleet.daemons:
            daemon.view.version += 1
    assert all(tuple(daemon.services) for daemon in fleet.daemons)


def test_a_service_taken_up_in_vain_is_given_up_soon(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=2)
    newcomer = next(
        one for one in fleet.daemons if not _is_in_group(fleet, one)
    )
    whole = newcomer.view.everyone
    newcomer.view.change((newcomer.own,))
    fleet.run(30)
    assert tuple(newcomer.services)
    newcomer.view.change(whole)
    fleet.run(30)
    assert not tuple(newcomer.services)


def _is_in_group(fleet, daemon):
    service = daemon.configuration.services['deposits']
    group = membership_groups.service_group(daemon.view, service.name, 2)
    return daemon.own in group
