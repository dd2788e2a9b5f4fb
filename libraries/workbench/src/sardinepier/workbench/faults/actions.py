"""Actions of fault cases on a fleet."""

import asyncio
import dataclasses
import signal
from typing import Protocol

from sardinepier.standins import target_faults
from sardinepier.workbench.faults import fleet, links


class Action(Protocol):
    """Injects or heals a fault in a part of a fleet."""

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Signal:
    """Send a signal; the script restarts a process that exits."""

    name: str
    number: signal.Signals

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        running_fleet.processes.signal(self.name, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Terminate:
    """Send a signal that ends a process, and keep the script from a restart."""

    name: str
    number: signal.Signals

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        running_fleet.processes.hold(self.name)
        running_fleet.processes.signal(self.name, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Let the script restart a process that was kept down."""

    name: str

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        running_fleet.processes.release(self.name)


@dataclasses.dataclass(frozen=True, slots=True)
class SetFault:
    """Set a fault in some targets; ``Fault()`` clears it."""

    fault: target_faults.Fault
    names: tuple[str, ...]

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        for name in self.names:
            await running_fleet.set_fault(name, self.fault)


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Drain a target, and keep it down once it has exited."""

    name: str

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        running_fleet.processes.hold(self.name)
        await running_fleet.drain(self.name)


@dataclasses.dataclass(frozen=True, slots=True)
class SetLink:
    """Cut or heal the link to ``listener``, from one daemon or from all."""

    listener: str
    mode: links.LinkMode
    direction: links.Direction = links.Direction.BOTH
    source: str = ''

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        source_ip = ''
        if self.source:
            source_ip = running_fleet.processes.daemon_ip(self.source)
        await running_fleet.set_link(
            links.LinkRule(
                self.listener,
                self.mode,
                source_ip,
                self.direction,
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SetPlatform:
    """Set how the platform answers: up, down, hang, stale or garbage."""

    mode: str

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        await running_fleet.set_platform(self.mode)


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Publish the service's file with another queue length."""

    queue_length: int

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        running_fleet.publish_queue_length(self.queue_length)


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait between two actions."""

    wait_s: float

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        await asyncio.sleep(self.wait_s)


@dataclasses.dataclass(frozen=True, slots=True)
class ActionSequence:
    """Execute several actions in order."""

    actions: tuple[Action, ...]

    async def execute(self, running_fleet: fleet.Fleet) -> None:
        """Execute the action."""
        for action in self.actions:
            await action.execute(running_fleet)
