"""The application object: owns the plug-ins, their objects and tasks."""

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any, TypeVar, cast

import structlog

from goldcrestyard.core.states import InstanceState
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.exceptions import ServiceMissingError
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.state.slices import Slice

T = TypeVar("T")

logger = structlog.get_logger(__name__)


class Application:
    """One process: settings, clock, plug-ins and everything they own."""

    def __init__(
        self,
        settings: Settings,
        plugin_classes: Sequence[type[PluginConfig]],
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        self.state = InstanceState.STARTING
        self.plugins_by_name = {plugin.name: plugin() for plugin in plugin_classes}
        self.stop_requested = asyncio.Event()
        self.failed = False
        self._services_by_type: dict[type, object] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._started: list[PluginConfig] = []

    def provide(self, service_type: type[T], service: T) -> T:
        """Make an object available to other plug-ins under its type."""
        self._services_by_type[service_type] = service
        return service

    def get(self, service_type: type[T]) -> T:
        """Return the object provided under a type."""
        try:
            return cast(T, self._services_by_type[service_type])
        except KeyError:
            raise ServiceMissingError(
                f"No plug-in provides {service_type.__name__}; name the plug-in "
                "that does in 'requires'."
            ) from None

    def find(self, service_type: type[T]) -> T | None:
        """Return the object provided under a type, or None."""
        return cast(T | None, self._services_by_type.get(service_type))

    @property
    def slice_classes(self) -> list[type[Slice]]:
        """The slices of the replicated state, of all plug-ins."""
        return [
            slice_class
            for plugin in self.plugins_by_name.values()
            for slice_class in plugin.slices
        ]

    @property
    def message_classes(self) -> list[type]:
        """The data classes of all plug-ins that the codec must know."""
        return [
            message_class
            for plugin in self.plugins_by_name.values()
            for message_class in plugin.messages
        ]

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        """Run a task for the life of the application.

        A task that fails stops the process: half of a process that goes on
        without its other half is harder to find than one that is gone.
        """
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def ready(self) -> None:
        """Run the ``ready`` hook of every plug-in."""
        for plugin in self.plugins_by_name.values():
            plugin.ready(self)

    async def start(self) -> None:
        """Run the ``start`` hooks; on failure, stop what has started."""
        try:
            for plugin in self.plugins_by_name.values():
                self._started.append(plugin)
                await plugin.start(self)
            for plugin in self.plugins_by_name.values():
                await plugin.serve(self)
        except BaseException:
            await self.stop()
            raise
        self.state = InstanceState.READY

    async def leave(self) -> None:
        """Run the ``leave`` hooks, last started first."""
        self.state = InstanceState.DRAINING
        for plugin in reversed(self._started):
            await plugin.leave(self)

    async def drain(self) -> None:
        """Run the ``drain`` hooks, first started first."""
        for plugin in self._started:
            await plugin.drain(self)

    async def stop(self) -> None:
        """Cancel the tasks and run the ``stop`` hooks, last started first."""
        self.state = InstanceState.STOPPED
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for plugin in reversed(self._started):
            try:
                await plugin.stop(self)
            except Exception:
                logger.exception("plug-in failed to stop", plugin=plugin.name)
        self._started.clear()

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logger.error("task failed", task=task.get_name(), exc_info=task.exception())
        self.failed = True
        self.stop_requested.set()
