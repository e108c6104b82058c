"""The platform's settings file, decoded into the product's settings."""

from pathlib import Path

import msgspec

from goldcrestyard.core.ids import DataCentre, InstanceId, Region
from goldcrestyard.fleet.assembly.settings import AssemblySettings
from goldcrestyard.fleet.duties import DutySettings
from goldcrestyard.fleet.tracking.settings import TrackingSettings
from goldcrestyard.kernel.checks import Level, Problem
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.platform.listening import ListeningSettings
from goldcrestyard.plugins.control.settings import ControlSettings
from goldcrestyard.plugins.entry.settings import EntrySettings
from goldcrestyard.plugins.listeners.settings import ListenerSettings
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.policy.leader_places import election_delay
from goldcrestyard.policy.leases import CLOCK_DRIFT

KEY_LEASE_SHARE = 0.75
"""Share of the time within which a removed key must be dead for which an
entry trusts the keys it knows; the rest is for requests on their way."""

QUIET_SHARE = 0.35
"""Share of the platform's bound on turns between holders of a duty for which
a new leader waits; the election takes another quarter at least."""

DRAIN_SHARE = 0.9
"""Share of the time before a process is killed that it may use to stop."""

CONNECT_SECONDS = 0.5
RENEW_SECONDS = 0.5
RENEW_TIMEOUT_SECONDS = 0.6
"""An entry notices within 1.1 s that its leader has fallen silent, about as
long as the others need to elect the next one.  Twenty round trips between
regions."""

HEARTBEAT_SECONDS = 0.1
LEASE_SECONDS = 0.5
ELECTION_SECONDS = 0.62
LONGEST_ELECTION_SECONDS = 0.95
"""Timing of the replicated log: short, since jobs and orders stand still for
an election, and long against a round trip between regions with a slow disk at
its end, which takes 0.1 s."""


class _Losses(msgspec.Struct):
    machines: int = 1
    """How many machines with a disk may be lost at once."""


class _Bounds(msgspec.Struct):
    revoke_ms: float = 5000
    lease_ms: float = 3000
    grace_s: float = 8
    window_s: float = 5


class _Cloud(msgspec.Struct):
    addr: str = ""
    duties: list[str] = []


class PlatformFile(msgspec.Struct):
    """The fields of the file that are used; others are ignored."""

    node: str
    """Name of the machine."""
    serves: list[str]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    """Region of each data centre."""
    listen: dict[str, str]
    port_range: tuple[int, int]
    """Ports for traffic between our own processes."""
    seeds: list[str]
    """Addresses of other machines' control listeners, not of their peers."""
    bootstrap: bool
    """Whether the whole system starts for the first time."""
    heartbeat_ms: float
    """Interval of the targets' heartbeats."""
    data_dir: str | None = None
    fault_budget: _Losses = msgspec.field(default_factory=_Losses)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud: _Cloud = msgspec.field(default_factory=_Cloud)


def decode(path: Path) -> tuple[Settings, list[Problem]]:
    """Read the file; return the settings, or what is wrong with it."""
    try:
        document = msgspec.json.decode(path.read_bytes(), type=PlatformFile)
    except OSError as error:
        return Settings({}), [_error("settings_file.E001", str(path), str(error))]
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Settings({}), [_error("settings_file.E002", str(path), str(error))]
    problems = [
        _error("settings_file.E003", f"listen.{name}", f"{address!r} is not host:port")
        for name, address in document.listen.items()
        if not address.rpartition(":")[2].isdigit()
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
        for address in (_peer_of(seed, peer_port) for seed in document.seeds)
    }
    regions = {DataCentre(z): Region(r) for z, r in document.zones.items()}
    bounds = document.bounds
    sections: dict[str, object] = {
        "instance": InstanceSettings(
            InstanceId(peer_address),
            DataCentre(document.zone),
            Region(document.region),
            drain_seconds=bounds.grace_s * DRAIN_SHARE,
        ),
        "cluster": ClusterSettings(
            "goldcrestyard", "", seeds, peer_address, CONNECT_SECONDS
        ),
        "entry": EntrySettings(
            bounds.revoke_ms / 1000 * KEY_LEASE_SHARE,
            RENEW_SECONDS,
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
        "duties": DutySettings(
            InstanceId(document.node),
            bounds.lease_ms / 1000 * QUIET_SHARE,
            bounds.window_s,
            "autoscale" in document.cloud.duties,
        ),
    }
    if document.data_dir is not None:
        delay = election_delay(Region(document.region), regions)
        sections["control"] = ControlSettings(
            document.data_dir,
            HEARTBEAT_SECONDS,
            LEASE_SECONDS,
            ELECTION_SECONDS + delay,
            LONGEST_ELECTION_SECONDS + delay,
            LEASE_SECONDS * (1 + CLOCK_DRIFT),
        )
    return sections


def machine_name(settings: Settings) -> str:
    """Return the name of the machine, as operators know it."""
    return settings.section(AssemblySettings).machine_name


def _peer_of(control_address: str, peer_port: int) -> str:
    """Return the peer address of a machine; ports are the same on all."""
    return f"{control_address.rpartition(':')[0]}:{peer_port}"


def _error(problem_id: str, key: str, message: str) -> Problem:
    return Problem(
        Level.ERROR, problem_id, key, message, "The platform writes this file."
    )
