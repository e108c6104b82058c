"""Checks of the cluster settings."""

from collections.abc import Iterable
from pathlib import Path

from goldcrestyard.core.decoding import is_address
from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.peers.settings import ClusterSettings

VALID_MEMBER_COUNTS = (1, 3, 5)
MIN_SECRET_BYTES = 16


def check_members(settings: Settings) -> Iterable[Problem]:
    """Check the number of control members and all peer addresses."""
    cluster = settings.find(ClusterSettings)
    if cluster is None:
        return
    if len(cluster.control_members) not in VALID_MEMBER_COUNTS:
        yield Problem(
            Severity.ERROR,
            "cluster.E001",
            "cluster.control_members",
            f"lists {len(cluster.control_members)} members",
            "List 3 or 5 instances with disks (1 for a trial): an even number "
            "tolerates no more failures than the next lower odd number.",
        )
    if len(cluster.control_members) == 1:
        yield Problem(
            Severity.WARNING,
            "cluster.W001",
            "cluster.control_members",
            "lists a single member, so the state has no replica",
            "List 3 or 5 members if the state must survive the loss of a disk.",
        )
    addresses = {
        f"cluster.control_members.{instance}": address
        for instance, address in cluster.control_members.items()
    }
    addresses["cluster.peer_address"] = cluster.peer_address
    for key, address in addresses.items():
        if not is_address(address):
            yield Problem(
                Severity.ERROR,
                "cluster.E002",
                key,
                f"{address!r} is not host:port",
                "Write an IP address and a port, such as 10.0.1.7:7400.",
            )


def check_secret(settings: Settings) -> Iterable[Problem]:
    """Check that the cluster secret can be read and is long enough."""
    cluster = settings.find(ClusterSettings)
    if cluster is None:
        return
    try:
        length = len(Path(cluster.secret_file).read_bytes().strip())
    except OSError as error:
        yield Problem(
            Severity.ERROR,
            "cluster.E003",
            "cluster.secret_file",
            f"cannot be read: {error.strerror}",
            "Create the file with the same random content on every instance.",
        )
        return
    if length < MIN_SECRET_BYTES:
        yield Problem(
            Severity.ERROR,
            "cluster.E004",
            "cluster.secret_file",
            f"contains only {length} bytes",
            f"Write at least {MIN_SECRET_BYTES} random bytes to the file, the same on "
            "every instance.",
        )
