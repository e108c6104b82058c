"""Services that run the items of jobs and score their texts."""

from collections.abc import Callable, Sequence

from goldcrestyard.core.ids import ItemId, JobId, ServiceName
from goldcrestyard.core.jobs import Job, JobItem
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.jobs.pending import PendingItem, find_route, group_of
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.serving import RouteKey, ServingTable, route_key
from goldcrestyard.policy.splits import even_points, service_at, used_services
from goldcrestyard.state.machine import StateMachine

RouteOf = Callable[[JobItem], ServingRoute | None]
Points = dict[ItemId, float]


class ItemServices:
    """Divides the items of each job between the services of their routes.

    Begun text stays with its service while that gets any traffic.  Everything
    else follows the present configuration.
    """

    def __init__(self, machine: StateMachine) -> None:
        self._serving = machine.get(ServingSlice)
        self._targets = machine.get(TargetsSlice)
        self._jobs = machine.get(JobsSlice)
        self._table: ServingTable | None = None
        self._run_points_by_job: dict[JobId, Points] = {}
        self._reward_points_by_job: dict[JobId, Points] = {}

    def run_service(
        self, job: Job, pending: PendingItem, route: ServingRoute
    ) -> ServiceName:
        """Return the service that goes on with an item, or begins it."""
        begun_by = pending.transcript.begun_by
        if begun_by is not None and begun_by in used_services(route):
            return begun_by
        return self.new_run_service(job, pending.item, route)

    def new_run_service(
        self, job: Job, item: JobItem, route: ServingRoute
    ) -> ServiceName:
        """Return the service that runs an item from its prompt.

        A service without a ready target leaves its items to the others.
        """
        if len(route.services) == 1:
            return route.services[0].name
        points = self._points(self._run_points_by_job, job, self._run_route(job))
        ready = [name for name in used_services(route) if self._targets.serving(name)]
        return service_at(route, points.get(item.id, 0.0), ready)

    def must_start_again(self, pending: PendingItem, route: ServingRoute) -> bool:
        """Return whether a text's service gets no more items of a route."""
        begun_by = pending.transcript.begun_by
        return begun_by is not None and begun_by not in used_services(route)

    def reward_point(self, job: Job, item: JobItem) -> float:
        """Return the point of an item's reward call in its route's split."""
        route_of = self._reward_route
        return self._points(self._reward_points_by_job, job, route_of).get(item.id, 0.0)

    def _run_route(self, job: Job) -> RouteOf:
        return lambda item: find_route(self._serving, job, item)

    def _reward_route(self, item: JobItem) -> ServingRoute | None:
        table = self._serving.table
        if table is None or item.reward is None:
            return None
        return table.route(item.reward.host, item.reward.path)

    def _points(
        self, points_by_job: dict[JobId, Points], job: Job, route_of: RouteOf
    ) -> Points:
        if self._table is not self._serving.table:
            self._table = self._serving.table
            self._run_points_by_job.clear()
            self._reward_points_by_job.clear()
        points = points_by_job.get(job.id)
        if points is None:
            for gone in points_by_job.keys() - self._jobs.jobs_by_id.keys():
                del points_by_job[gone]
            points = points_by_job[job.id] = _points_of(job, route_of)
        return points


def _points_of(job: Job, route_of: RouteOf) -> Points:
    """Return the points of a job's items, apart for each route."""
    items_by_route: dict[RouteKey, list[ItemId]] = {}
    for item in _by_group(job.items):
        route = route_of(item)
        if route is not None:
            items_by_route.setdefault(route_key(route), []).append(item.id)
    points: Points = {}
    for items in items_by_route.values():
        points |= even_points(job.id, items)
    return points


def _by_group(items: Sequence[JobItem]) -> list[JobItem]:
    """Return items with those of each group next to each other."""
    groups = dict.fromkeys(map(group_of, items))
    positions = {group: position for position, group in enumerate(groups)}
    return sorted(items, key=lambda item: positions[group_of(item)])
