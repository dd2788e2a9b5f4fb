"""What a fault case can do to a fleet, each as one small value."""

import asyncio
import dataclasses
import signal
from typing import Protocol

from sardinepier.standins import target_faults
from sardinepier.workbench.faults import fleet, links


class Action(Protocol):
    """Something that breaks or cures a part of a fleet."""

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Signal:
    """Send a signal; a process that ends is started again by the script."""

    name: str
    number: signal.Signals

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        running.processes.signal(self.name, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Terminate:
    """Send a signal that ends a process, and keep it down."""

    name: str
    number: signal.Signals

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        running.processes.hold(self.name)
        running.processes.signal(self.name, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Let a process that was kept down start again."""

    name: str

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        running.processes.release(self.name)


@dataclasses.dataclass(frozen=True, slots=True)
class SetFault:
    """Put a fault in force in some targets; ``Fault()`` cures them."""

    fault: target_faults.Fault
    names: tuple[str, ...]

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        for name in self.names:
            await running.set_fault(name, self.fault)


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Let a target drain, and keep it down once it has ended."""

    name: str

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        running.processes.hold(self.name)
        await running.drain(self.name)


@dataclasses.dataclass(frozen=True, slots=True)
class SetLink:
    """Cut or heal the link to ``listener``, from one daemon or from all."""

    listener: str
    mode: links.LinkMode
    direction: links.Direction = links.Direction.BOTH
    source: str = ''

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        source_ip = ''
        if self.source:
            source_ip = running.processes.daemon_ip(self.source)
        await running.set_link(
            links.LinkRule(
                self.listener,
                self.mode,
                source_ip,
                self.direction,
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SetPlatform:
    """Let the platform answer well or badly."""

    mode: str

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        await running.set_platform(self.mode)


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Publish the service's file with another queue length."""

    queue_length: int

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        running.publish_queue_length(self.queue_length)


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Let some time go by between two actions."""

    wait_s: float

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        await asyncio.sleep(self.wait_s)


@dataclasses.dataclass(frozen=True, slots=True)
class ActionSequence:
    """Take several actions, one straight after another."""

    actions: tuple[Action, ...]

    async def execute(self, running: fleet.Fleet) -> None:
        """Do it now."""
        for action in self.actions:
            await action.execute(running)
