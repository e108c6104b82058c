"""Refusal of jobs whose bodies would be stored outside their home regions."""

from goldcrestyard.core.ids import Region
from goldcrestyard.core.jobs import Job
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.policy.residency import allowed_regions, may_be_stored
from goldcrestyard.policy.serving import ServingTable

RETRY_SECONDS = 5.0
"""Advice to a trainer whose job may not be stored.  Only another configuration
helps, which takes up to 10 s until it is in force."""


class JobHomes:
    """Decides on an entry whether the control members may store a job."""

    def __init__(
        self, serving: ServingSlice, member_regions: frozenset[Region]
    ) -> None:
        """Create the check.

        ``member_regions`` are the regions in which there may be a control
        member while the job is stored.
        """
        self._serving = serving
        self._member_regions = member_regions

    def refusal(self, job: Job) -> Refusal | None:
        """Return why a job may not be stored, or None if it may be."""
        table = self._serving.table
        if table is None or not table.has_homes:
            return None
        if may_be_stored(_regions_of(table, job), self._member_regions):
            return None
        return Refusal(
            RefusalReason.RESIDENCY,
            "the home regions of the job's routes and organisation do not hold"
            " all regions of the control members, which store jobs",
            retry_after_seconds=RETRY_SECONDS,
        )


def _regions_of(table: ServingTable, job: Job) -> frozenset[Region] | None:
    """Return the regions that the routes and the organisation allow."""
    places = {(job.host, job.path)}
    for item in job.items:
        places.add((job.host, item.path))
        if item.reward is not None:
            places.add((item.reward.host, item.reward.path))
    homes = {
        route.residency
        for host, path in places
        if (route := table.route(host, path)) is not None
    }
    if job.organisation is not None:
        homes.add(table.homes_by_organisation.get(job.organisation, ()))
    return allowed_regions(*homes)
