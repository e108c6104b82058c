"""Decoding of the platform's settings file into the settings of the plug-ins.

The platform writes one file for each machine.  The constants of this
module set the timing that the file does not contain.
"""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from goldcrestyard.core.decoding import (
    MAX_WHOLE_NUMBER,
    Malformed,
    Port,
    decode_json,
    is_address,
)
from goldcrestyard.core.ids import DataCentre, InstanceId, Region
from goldcrestyard.fleet.assembly.settings import AssemblySettings
from goldcrestyard.fleet.directory.settings import DirectorySettings
from goldcrestyard.fleet.duties import DutySettings
from goldcrestyard.fleet.gateway.settings import (
    DEFAULT_HEDGE_SHARE,
    HedgingSettings,
)
from goldcrestyard.fleet.limits.settings import ColdTargetSettings
from goldcrestyard.fleet.tracking.settings import TrackingSettings
from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.default_settings import InstanceSettings, MemorySettings
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.platform.listening import ListeningSettings
from goldcrestyard.plugins.control.settings import ControlSettings
from goldcrestyard.plugins.entry.settings import EntrySettings
from goldcrestyard.plugins.listeners.settings import ListenerSettings
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.policy.leader_places import election_delay
from goldcrestyard.policy.leases import MAX_CLOCK_DRIFT
from goldcrestyard.policy.memory import MEGABYTE

KEY_LEASE_SHARE = 0.75
"""Share of ``revoke_ms`` for which an entry may use its copy of the API keys
without renewing its lease.  Within ``revoke_ms`` a removed key must be refused
everywhere; the rest of this time is left for requests in transit."""

QUIET_TIME_SHARE = 0.35
"""Share of ``lease_ms`` for which a new leader waits before it performs a
duty.  The election takes at least a quarter of ``lease_ms``, so that a former
leader which another one has replaced resumes the duty only after more than
``lease_ms``."""

DRAIN_TIME_SHARE = 0.9
"""Share of ``grace_s`` for which a stopping process may finish its running
requests.  The process is killed after ``grace_s``."""

CONNECT_TIMEOUT_SECONDS = 0.5
RENEW_INTERVAL_SECONDS = 0.5
RENEW_TIMEOUT_SECONDS = 0.6
"""Timing of the entries' lease renewals.  An entry detects within 1.1 s
(interval and time-out) that its leader does not answer.  The members need
about the same time to elect the next leader, and it is twenty round trips
between regions."""

HEARTBEAT_INTERVAL_SECONDS = 0.1
LEASE_SECONDS = 0.5
MIN_ELECTION_TIMEOUT_SECONDS = 0.62
MAX_ELECTION_TIMEOUT_SECONDS = 0.95
"""Timing of the replicated log.  The times are short, since jobs and orders
make no progress during an election, but they are several times the 0.1 s of a
round trip between regions to a member with a slow disk."""


MIN_CAPACITY = 0.001
"""Smallest processor time in cores that counts as one."""


class _Losses(msgspec.Struct):
    machines: int = 1
    """Number of machines with a disk that may be lost at the same time."""


class _Bounds(msgspec.Struct):
    revoke_ms: float = 5000
    lease_ms: float = 3000
    grace_s: float = 8
    window_s: float = 5
    cold_overage: Annotated[float, Meta(ge=0)] = 1.5
    cold_slack: Annotated[float, Meta(ge=0)] = 5.0


class _Limits(msgspec.Struct):
    ram_mb: Annotated[float, Meta(gt=0, le=MAX_WHOLE_NUMBER / MEGABYTE)] = 512
    """Memory in MB from which the platform ends the process."""
    cpu_share: float | None = None
    """Share of each core that the process may use; None if not stated."""
    cores: float | None = None
    """Number of cores of the machine; None if not stated."""
    max_fds: Annotated[float, Meta(ge=0, le=MAX_WHOLE_NUMBER)] = 0
    """Descriptors that the process may have open; 0 if none are stated."""


class _Hedging(msgspec.Struct):
    share: Annotated[float, Meta(ge=0, le=1)] = DEFAULT_HEDGE_SHARE
    """Hedges of a route as a share of its requests; 0 turns hedging off.  The
    platform's files have no such field."""


class _Cloud(msgspec.Struct):
    addr: str = ""
    duties: list[str] = []


class PlatformFile(msgspec.Struct):
    """The fields of the settings file that are used; others are ignored."""

    node: str
    """Name of the machine."""
    serves: list[str]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    """Region of each data centre."""
    listen: dict[str, str]
    port_range: tuple[Port, Port]
    """Ports for connections between goldcrestyard processes."""
    seeds: list[str]
    """Addresses of other machines' control listeners, not peer listeners."""
    bootstrap: bool
    """Whether the whole deployment starts for the first time."""
    heartbeat_ms: float
    """Interval of the targets' heartbeats."""
    data_dir: str | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)
    fault_budget: _Losses = msgspec.field(default_factory=_Losses)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud: _Cloud = msgspec.field(default_factory=_Cloud)
    hedging: _Hedging = msgspec.field(default_factory=_Hedging)


def decode(path: Path) -> tuple[Settings, list[Problem]]:
    """Read the file; return the settings and the problems found in it.

    The settings are empty if the file cannot be read or decoded.
    """
    try:
        document = decode_json(path.read_bytes(), PlatformFile)
    except OSError as error:
        return Settings({}), [_error("settings_file.E001", str(path), str(error))]
    if isinstance(document, Malformed):
        return Settings({}), [_error("settings_file.E002", str(path), document.detail)]
    problems = [
        _error("settings_file.E003", f"listen.{name}", f"{address!r} is not host:port")
        for name, address in document.listen.items()
        if not is_address(address)
    ]
    if "control" in document.serves and document.data_dir is None:
        problems.append(
            _error("settings_file.E004", "data_dir", "is missing on a control member")
        )
    return Settings(_sections(document)), problems


def _sections(document: PlatformFile) -> dict[str, object]:
    peer_port = document.port_range[0]
    peer_address = f"{document.ip}:{peer_port}"
    seeds = {
        InstanceId(address): address
        for address in (_peer_address(seed, peer_port) for seed in document.seeds)
    }
    regions = {DataCentre(z): Region(r) for z, r in document.zones.items()}
    bounds = document.bounds
    sections: dict[str, object] = {
        "instance": InstanceSettings(
            InstanceId(peer_address),
            DataCentre(document.zone),
            Region(document.region),
            drain_seconds=bounds.grace_s * DRAIN_TIME_SHARE,
        ),
        "memory": MemorySettings(
            int(document.limits.ram_mb * MEGABYTE), int(document.limits.max_fds)
        ),
        "cluster": ClusterSettings(
            "goldcrestyard", "", seeds, peer_address, CONNECT_TIMEOUT_SECONDS
        ),
        "entry": EntrySettings(
            bounds.revoke_ms / 1000 * KEY_LEASE_SHARE,
            RENEW_INTERVAL_SECONDS,
            RENEW_TIMEOUT_SECONDS,
        ),
        "listeners": ListenerSettings(document.listen.get("front", ""), ""),
        "listening": ListeningSettings(document.listen, document.cloud.addr),
        "assembly": AssemblySettings(
            document.node,
            seeds if document.bootstrap else {},
            document.fault_budget.machines,
        ),
        "tracking": TrackingSettings(
            document.heartbeat_ms / 1000,
            regions,
        ),
        "directory": DirectorySettings(_capacity(document.limits)),
        "hedging": HedgingSettings(document.hedging.share),
        "cold_targets": ColdTargetSettings(bounds.cold_overage, bounds.cold_slack),
        "duties": DutySettings(
            InstanceId(document.node),
            bounds.lease_ms / 1000 * QUIET_TIME_SHARE,
            bounds.window_s,
            "autoscale" in document.cloud.duties,
        ),
    }
    if document.data_dir is not None:
        delay = election_delay(Region(document.region), regions)
        sections["control"] = ControlSettings(
            document.data_dir,
            HEARTBEAT_INTERVAL_SECONDS,
            LEASE_SECONDS,
            MIN_ELECTION_TIMEOUT_SECONDS + delay,
            MAX_ELECTION_TIMEOUT_SECONDS + delay,
            LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT),
        )
    return sections


def _capacity(limits: _Limits) -> float | None:
    """Return a machine's processor time in cores, None if it is not stated.

    A number that can be no capacity is not worth a process that does not
    start.
    """
    if limits.cpu_share is None or limits.cores is None:
        return None
    capacity = limits.cpu_share * limits.cores
    valid = MIN_CAPACITY <= capacity <= MAX_WHOLE_NUMBER
    return capacity if valid and limits.cores > 0 else None


def machine_name(settings: Settings) -> str:
    """Return the machine's name in the settings, which log lines contain."""
    return settings.section(AssemblySettings).machine_name


def _peer_address(control_address: str, peer_port: int) -> str:
    """Return a machine's peer address; all machines use the same port."""
    return f"{control_address.rpartition(':')[0]}:{peer_port}"


def _error(problem_id: str, key: str, message: str) -> Problem:
    return Problem(
        Severity.ERROR,
        problem_id,
        key,
        message,
        "The platform writes this file.",
    )
