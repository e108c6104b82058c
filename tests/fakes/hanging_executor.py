"""An executor for a member's disk that hangs for a time."""

from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any


class HangingExecutor(Executor):
    """Runs work in the calling thread, or later while the disk hangs."""

    def __init__(self) -> None:
        self._hangs = False
        self._waiting: list[tuple[Future[Any], Callable[[], Any]]] = []

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Any:
        future: Future[Any] = Future()
        self._waiting.append((future, lambda: fn(*args, **kwargs)))
        if not self._hangs:
            self.release()
        return future

    def hang(self) -> None:
        """Keep all further work waiting."""
        self._hangs = True

    def release(self) -> None:
        """Do the work that waits, and all further work at once."""
        self._hangs = False
        while self._waiting:
            future, work = self._waiting.pop(0)
            if future.cancelled():
                continue
            try:
                future.set_result(work())
            except Exception as error:
                future.set_exception(error)
