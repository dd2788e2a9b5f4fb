"""When a daemon joins services, and when it retires them."""

from sardinepier.membership import groups as membership_groups


def test_an_unused_service_of_another_group_is_retired(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=2)
    fleet.run(20)
    guest = next(
        daemon for daemon in fleet.daemons if not tuple(daemon.services)
    )
    guest.services.get('deposits')
    fleet.run(300)
    assert tuple(guest.services)
    fleet.run(700)
    assert [len(tuple(peer.services)) for peer in fleet.daemons].count(1) == 2
    assert not tuple(guest.services)


def test_a_daemon_that_briefly_sees_only_itself_joins_no_service(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=2)
    newcomer = next(
        daemon for daemon in fleet.daemons if not _is_in_group(fleet, daemon)
    )
    complete_view = newcomer.view.all_members
    newcomer.view.change((newcomer.own,))
    fleet.run(5)
    assert not tuple(newcomer.services)
    newcomer.view.change(complete_view)
    fleet.run(200)
    assert not tuple(newcomer.services)


def test_services_are_joined_in_time_if_the_view_keeps_changing(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    for _ in range(70):
        fleet.run(1)
        for daemon in fleet.daemons:
            daemon.view.version += 1
    assert all(tuple(daemon.services) for daemon in fleet.daemons)


def test_a_service_joined_in_an_incomplete_view_is_retired_soon(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=2)
    newcomer = next(
        daemon for daemon in fleet.daemons if not _is_in_group(fleet, daemon)
    )
    complete_view = newcomer.view.all_members
    newcomer.view.change((newcomer.own,))
    fleet.run(30)
    assert tuple(newcomer.services)
    newcomer.view.change(complete_view)
    fleet.run(30)
    assert not tuple(newcomer.services)


def _is_in_group(fleet, daemon):
    service = daemon.configuration.services['deposits']
    group = membership_groups.service_group(daemon.view, service.name, 2)
    return daemon.own in group
