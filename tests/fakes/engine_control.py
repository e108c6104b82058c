"""A control interface of engines that only reports their runs."""

from goldcrestyard.core.records import Target
from goldcrestyard.fleet.versions.orders import EngineReport


class FakeControl:
    """Reports the runs of engines; without a run an engine does not answer."""

    def __init__(self, incarnations: dict[str, str]) -> None:
        self.incarnations = incarnations

    async def report(self, target: Target) -> EngineReport | None:
        named = self.incarnations.get(target.id)
        return None if named is None else EngineReport(0, False, {}, named)
