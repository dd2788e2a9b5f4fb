"""A small platform for tests and the demo: files, watches, instance list.

For example::

    standin = PlatformStandin()
    url = await standin.start()
    standin.publish('fleet', text)
    standin.set_mode(PlatformMode.DOWN)
    await standin.stop()

It keeps everything in memory and counts each call; a waiting watch is one.
"""

from aiohttp import web

from sardinepier.core import ids
from sardinepier.platform import interface
from sardinepier.standins.internal import (
    platform_counts,
    platform_faults,
    platform_handlers,
    platform_served,
)

PlatformMode = platform_faults.PlatformMode
CallCounts = platform_counts.CallCounts


class PlatformStandin:
    """An in-memory platform, served over HTTP."""

    def __init__(self) -> None:
        """Start in the mode ``UP``, without files and calls."""
        self.counts = CallCounts()
        self.state = platform_served.ServedState()
        self._handlers = platform_handlers.PlatformHandlers(
            self.state,
            self.counts,
        )
        self._runner: web.AppRunner | None = None

    @property
    def revision(self) -> int:
        """Return the newest revision, even if an earlier one is served."""
        return self.state.newest.revision

    @property
    def mode(self) -> PlatformMode:
        """Return how the stand-in responds at present."""
        return self.state.mode

    def publish(self, name: str, text: str) -> int:
        """Publish a new text of the file and return its revision."""
        newest = self.state.newest
        self.state.push(newest.with_file(ids.FileName(name), text))
        return self.revision

    def delete(self, name: str) -> int:
        """Delete the file and return the revision of its deletion."""
        newest = self.state.newest
        self.state.push(newest.with_file(ids.FileName(name), None))
        return self.revision

    def set_instances(self, instances: interface.InstanceList) -> None:
        """Replace the instance list."""
        self.state.push(self.state.newest.with_instances(instances))

    def set_mode(self, mode: PlatformMode, changes_back: int = 1) -> None:
        """Set how the stand-in responds, also to waiting watches.

        In ``PlatformMode.STALE`` the state of ``changes_back`` changes ago
        is served, regardless of what is published afterwards.
        """
        self.state.set_mode(mode, changes_back)

    def application(self) -> web.Application:
        """Return a new aiohttp application that serves this platform."""
        return self._handlers.application()

    async def start(self, ip: str = '127.0.0.1', port: int = 0) -> str:
        """Listen and return the URL; port 0 lets the system choose."""
        self._runner = web.AppRunner(
            self.application(),
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, port).start()
        bound_port = self._runner.addresses[0][1]
        return f'http://{ip}:{bound_port}'

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
