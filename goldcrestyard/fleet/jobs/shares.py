"""Shares of jobs that go to a service."""

from goldcrestyard.core.ids import ServiceName
from goldcrestyard.core.jobs import Job
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.policy.splits import share_of


def job_share(serving: ServingSlice, job: Job, service: ServiceName) -> float:
    """Return the share of a job's items that a service gets, 0 to 1.

    The route of the job counts for all items.  It is 1 for a service that the
    route does not name: its engines serve callers, whose demand is not known.
    """
    table = serving.table
    route = None if table is None else table.route(job.host, job.path)
    if route is None or all(share.name != service for share in route.services):
        return 1.0
    return share_of(route, service)
