"""Authentication of callers by key, at the start of and during a request.

``Authenticator`` checks the key of a new request.  ``KeyGuard`` cancels a
running request when its key is withdrawn or the entry's lease ends.
"""

import asyncio
from dataclasses import dataclass
from types import TracebackType

from aiohttp import web

from goldcrestyard.core import keys
from goldcrestyard.core.ids import KeyId, OrganisationId
from goldcrestyard.core.records import Organisation
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice


@dataclass(frozen=True, slots=True)
class Principal:
    """The organisation and key that a request is authenticated as."""

    organisation: OrganisationId
    key: KeyId


def presented_key(request: web.Request) -> str:
    """Return the bearer token of a request; empty if it has none."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


class Authenticator:
    """Checks keys against this entry's view while its lease is valid."""

    def __init__(self, view: EntryView) -> None:
        self._view = view
        self._slice = view.machine.get(OrganisationsSlice)
        self._guards: set[KeyGuard] = set()
        view.listen(self._recheck)

    def authenticate(self, request: web.Request) -> Principal | Refusal:
        """Return the principal of a request, or why it is refused."""
        token = presented_key(request)
        if not token:
            return Refusal(
                RefusalReason.INVALID_KEY, "send 'Authorization: Bearer <key>'"
            )
        if not self._view.holds_lease():
            return Refusal(
                RefusalReason.ENTRY_LEASE,
                "this entry has lost contact with the leader and cannot check "
                "keys; send the request to another entry of the list at "
                "/addresses",
                retry_after_seconds=1.0,
            )
        presented = keys.parse(token)
        if presented is None:
            return Refusal(RefusalReason.INVALID_KEY, "unknown API key")
        if presented.id in self._slice.withdrawn:
            return Refusal(RefusalReason.KEY_WITHDRAWN, "the API key was withdrawn")
        key = self._slice.keys_by_id.get(presented.id)
        if key is None or not keys.hashes_equal(key.secret_hash, presented.secret_hash):
            return Refusal(RefusalReason.INVALID_KEY, "unknown API key")
        return Principal(key.organisation, key.id)

    def organisation(self, organisation_id: OrganisationId) -> Organisation:
        """Return an organisation's share and limits, or the defaults."""
        return self._slice.organisations_by_id.get(
            organisation_id, Organisation(organisation_id)
        )

    def invalidity(self, principal: Principal) -> Refusal | None:
        """Return why a principal is no longer valid, or None if it is.

        The verdict is "may have run", because the request is running.
        """
        if principal.key not in self._slice.keys_by_id:
            return Refusal(
                RefusalReason.KEY_WITHDRAWN,
                "the API key was withdrawn during the request",
                Verdict.MAY_HAVE_RUN,
            )
        if not self._view.holds_lease():
            return Refusal(
                RefusalReason.ENTRY_LEASE,
                "this entry lost contact with the leader during the request",
                Verdict.MAY_HAVE_RUN,
            )
        return None

    def guard(self, principal: Principal) -> "KeyGuard":
        """Return a context manager that ends its block on an invalid key."""
        return KeyGuard(self, principal)

    def lease_remaining(self) -> float:
        """Return the seconds until this entry's lease expires."""
        return self._view.lease_remaining()

    def add_guard(self, guard: "KeyGuard") -> None:
        """Check a running request again after each change of the view."""
        self._guards.add(guard)

    def remove_guard(self, guard: "KeyGuard") -> None:
        """Stop checking a request."""
        self._guards.discard(guard)

    def _recheck(self) -> None:
        for guard in list(self._guards):
            guard.check()


class KeyGuard:
    """Context manager that cancels its block when the key becomes invalid.

    A key becomes invalid when it is withdrawn or the entry's lease expires;
    ``refusal`` then says which.  The cancellation does not propagate out of
    the block, as with ``asyncio.timeout``.
    """

    def __init__(self, authenticator: Authenticator, principal: Principal) -> None:
        self._authenticator = authenticator
        self._principal = principal
        self._task: asyncio.Task[object] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.refusal: Refusal | None = None

    async def __aenter__(self) -> "KeyGuard":
        self._task = asyncio.current_task()
        self._authenticator.add_guard(self)
        self._schedule_check_at_lease_end()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        self._authenticator.remove_guard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self.refusal is None or self._task is None:
            return False
        return self._task.uncancel() == 0 and exception_type is asyncio.CancelledError

    def check(self) -> None:
        """Cancel the block if the key has become invalid."""
        if self.refusal is not None or self._task is None:
            return
        self.refusal = self._authenticator.invalidity(self._principal)
        if self.refusal is not None:
            self._task.cancel()
            return
        self._schedule_check_at_lease_end()

    def _schedule_check_at_lease_end(self) -> None:
        # The lease is renewed many times during a long request, so the
        # timer checks the lease again instead of cancelling the block.
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(
            self._authenticator.lease_remaining() + 0.01, self.check
        )
