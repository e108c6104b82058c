"""Sizes of jobs, for the bound on what the members keep.

The sizes are those of the stored bytes, with an allowance for the objects that
hold them, so that many empty items count as well.
"""

from goldcrestyard.core.jobs import ItemResult, Job, JobItem, Progress

JOB_BYTES = 1024
ITEM_BYTES = 1024
RESULT_BYTES = 512
EVENT_BYTES = 64
"""Allowances for a job, an item, a result and an event of saved progress."""


def job_size(job: Job) -> int:
    """Return the size of a job and its items, in bytes."""
    fixed = JOB_BYTES + len(job.id) + len(job.host) + len(job.path)
    return fixed + sum(map(item_size, job.items))


def item_size(item: JobItem) -> int:
    """Return the size of an item, in bytes."""
    size = ITEM_BYTES + len(item.id) + len(item.path) + len(item.body)
    size += len(item.group) + len(item.model) + len(item.released_digest)
    size += sum(len(name) + len(value) for name, value in item.headers)
    if item.reward is not None:
        reward = item.reward
        size += len(reward.request) + len(reward.host)
        size += len(reward.path) + len(reward.body)
    return size


def result_size(result: ItemResult) -> int:
    """Return the size of a listed result, in bytes."""
    return RESULT_BYTES + len(result.text) + len(result.score)


def progress_size(progress: Progress) -> int:
    """Return the size of an item's saved progress, in bytes."""
    return sum(EVENT_BYTES + len(event) for event in progress.events)
