"""The application object, which owns the plug-ins, their objects and tasks.

It runs the plug-ins' life-cycle hooks in start order, and is the service
locator by which plug-ins find each other's objects.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar, cast

import structlog

from goldcrestyard.core.states import InstanceState
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.exceptions import ServiceMissingError
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.kernel.supervision import (
    AfterFailure,
    FailureHistory,
    FailurePolicy,
    Restart,
)
from goldcrestyard.state.slices import Slice

T = TypeVar("T")

logger = structlog.get_logger(__name__)


class Application:
    """One daemon process: its settings, clock, plug-ins and tasks.

    ``stop_requested`` is set when the process is to stop, and ``failed`` if
    the cause is a fault.
    """

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
        self.task_failures = 0
        """Number of failures of background tasks that were started again."""
        self._services_by_type: dict[type, object] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_plugins: list[PluginConfig] = []

    def provide(self, service_type: type[T], service: T) -> T:
        """Register an object under its type for other plug-ins."""
        self._services_by_type[service_type] = service
        return service

    def get(self, service_type: type[T]) -> T:
        """Return the object provided under a type.

        Raises ``ServiceMissingError`` if no plug-in provides one.
        """
        try:
            return cast(T, self._services_by_type[service_type])
        except KeyError:
            raise ServiceMissingError(
                f"No plug-in provides {service_type.__name__}; add the plug-in "
                "that provides it to 'requires'."
            ) from None

    def find(self, service_type: type[T]) -> T | None:
        """Return the object provided under a type, or None if none is."""
        return cast(T | None, self._services_by_type.get(service_type))

    @property
    def slice_classes(self) -> list[type[Slice]]:
        """Classes of all plug-ins' slices of the replicated state."""
        return [
            slice_class
            for plugin in self.plugins_by_name.values()
            for slice_class in plugin.slices
        ]

    @property
    def message_classes(self) -> list[type]:
        """Data classes of all plug-ins to register with the codec."""
        return [
            message_class
            for plugin in self.plugins_by_name.values()
            for message_class in plugin.messages
        ]

    def supervise(
        self,
        work: Callable[[], Coroutine[Any, Any, None]],
        name: str,
        policy: FailurePolicy = Restart(),  # noqa: B008 - immutable
    ) -> None:
        """Run a task until the application stops, again after it failed.

        ``work`` starts from the state of its objects each time.
        """
        self.spawn(self._run_again(work, name, policy), name)

    async def _run_again(
        self,
        work: Callable[[], Coroutine[Any, Any, None]],
        name: str,
        policy: FailurePolicy,
    ) -> None:
        history = FailureHistory(policy)
        while True:
            try:
                await work()
            except Exception:
                after = history.record(self.clock.monotonic())
                if after is AfterFailure.STOP_PROCESS:
                    raise
                self.task_failures += 1
                logger.exception(
                    "background task failed; starting it again",
                    task=name,
                    failures=history.count,
                    delay_seconds=history.delay_seconds,
                )
            else:
                return
            await asyncio.sleep(history.delay_seconds)

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        """Run a task until the application stops.

        If the task fails, the process stops.
        """
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def ready(self) -> None:
        """Run the ``ready`` hooks in start order."""
        for plugin in self.plugins_by_name.values():
            plugin.ready(self)

    async def start(self) -> None:
        """Run the ``start`` hooks, then the ``serve`` hooks.

        If a hook fails, the plug-ins started so far are stopped.
        """
        try:
            for plugin in self.plugins_by_name.values():
                self._started_plugins.append(plugin)
                await plugin.start(self)
            for plugin in self.plugins_by_name.values():
                await plugin.serve(self)
        except BaseException:
            await self.stop()
            raise
        self.state = InstanceState.READY

    async def leave(self) -> None:
        """Run the ``leave`` hooks in reverse start order."""
        self.state = InstanceState.DRAINING
        for plugin in reversed(self._started_plugins):
            await plugin.leave(self)

    async def drain(self) -> None:
        """Run the ``drain`` hooks in start order."""
        for plugin in self._started_plugins:
            await plugin.drain(self)

    async def stop(self) -> None:
        """Cancel the tasks and run the ``stop`` hooks in reverse order."""
        self.state = InstanceState.STOPPED
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for plugin in reversed(self._started_plugins):
            try:
                await plugin.stop(self)
            except Exception:
                logger.exception(
                    "stop hook of a plug-in failed; stopping the others",
                    plugin=plugin.name,
                )
        self._started_plugins.clear()

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logger.error(
            "background task failed; stopping the process",
            task=task.get_name(),
            exc_info=task.exception(),
        )
        self.failed = True
        self.stop_requested.set()
