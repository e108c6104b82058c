"""Request counts of the entries, and their sum on the leader.

Each entry sends its counts as a digest with its lease renewals; the leader
adds up the counts of all entries.
"""

import secrets
from collections import Counter, OrderedDict

from goldcrestyard.core.ids import InstanceId, OrganisationId, RequestId
from goldcrestyard.fleet.metering.commands import NoReply, UsageCounts, WindowCounts
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.policy.usage_numbers import WindowNumber, window_number
from goldcrestyard.wire.codec import Codec

CHANNEL_NAME = "usage_counts"

MAX_KEPT_WINDOWS = 6
"""Maximum number of windows for which an entry keeps counts, so that a new
leader receives the counts of all windows that may still be open."""

MAX_REMEMBERED_REQUESTS = 4096
"""Maximum number of recent request ids kept to count each request only once.
Both attempts of a hedged request begin within a second."""


class UsageMeter:
    """Counts the requests of an entry in the window in which they began."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._run = secrets.token_hex(4)
        self._counts_by_window: OrderedDict[WindowNumber, Counter[OrganisationId]] = (
            OrderedDict()
        )
        self._counted_requests: OrderedDict[RequestId, None] = OrderedDict()

    def count(
        self, organisation: OrganisationId | None, request: RequestId, began_at: float
    ) -> None:
        """Count a request unless it is already counted or has no organisation.

        ``began_at`` is in seconds since the Unix epoch.
        """
        if organisation is None or request in self._counted_requests:
            return
        self._counted_requests[request] = None
        if len(self._counted_requests) > MAX_REMEMBERED_REQUESTS:
            self._counted_requests.popitem(last=False)
        window = window_number(began_at, self._window_seconds)
        self._counts_by_window.setdefault(window, Counter())[organisation] += 1
        while len(self._counts_by_window) > MAX_KEPT_WINDOWS:
            del self._counts_by_window[min(self._counts_by_window)]

    def counts(self) -> UsageCounts:
        """Return the counts of the latest windows."""
        return UsageCounts(
            self._run,
            tuple(
                WindowCounts(window, dict(counts))
                for window, counts in self._counts_by_window.items()
            ),
        )


class UsageChannel(DigestChannel):
    """Sends the counts of an entry with each lease renewal."""

    name = CHANNEL_NAME

    def __init__(self, meter: UsageMeter, codec: Codec) -> None:
        self._meter = meter
        self._codec = codec

    def collect(self) -> bytes:
        """Return the encoded counts, which replace those sent before."""
        return self._codec.encode(self._meter.counts())

    def receive(self, summary: bytes) -> None:
        """Ignore the leader's reply, which is empty."""


class UsageMerger(DigestMerger):
    """Adds up the counts of all entries.

    The counts of an entry process that has ended are kept and added to those
    of its successor, so that no usage is lost by a restart.
    """

    name = CHANNEL_NAME

    def __init__(self, codec: Codec) -> None:
        self._codec = codec
        self._no_reply = codec.encode(NoReply())
        self._counts_by_window: dict[
            WindowNumber, dict[tuple[InstanceId, str], dict[OrganisationId, int]]
        ] = {}

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Store an entry's counts in place of those it sent before."""
        counts = self._codec.decode(digest)
        assert isinstance(counts, UsageCounts)
        for window in counts.windows:
            by_run = self._counts_by_window.setdefault(window.window, {})
            by_run[entry, counts.run] = window.counts_by_organisation

    def summary(self, entry: InstanceId) -> bytes:
        """Return an empty reply."""
        return self._no_reply

    def total(self, window: WindowNumber) -> WindowCounts:
        """Return the sum for a window, and discard all earlier windows."""
        total: Counter[OrganisationId] = Counter()
        for counts in self._counts_by_window.get(window, {}).values():
            total.update(counts)
        for old in [known for known in self._counts_by_window if known < window]:
            del self._counts_by_window[old]
        return WindowCounts(window, dict(total))
