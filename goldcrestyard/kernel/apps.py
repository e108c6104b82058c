"""Base class of the plug-ins' configuration objects."""

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, ClassVar

from goldcrestyard.kernel import registry
from goldcrestyard.kernel.checks import Check

if TYPE_CHECKING:
    from goldcrestyard.kernel.application import Application
    from goldcrestyard.state.declarations import DeclaredKind, Subject
    from goldcrestyard.state.slices import Slice


class PluginConfig:
    """Describes a plug-in and carries its life-cycle hooks.

    A subclass in ``plugins/<name>/apps.py`` registers itself when that
    module is imported.  A plug-in's hooks run after those of the plug-ins that
    it requires; ``leave`` and ``stop`` run in the opposite order.  So a
    planned stop first takes this process off the list that callers follow,
    then closes the listeners, and then drains along the way that work takes:
    callers' requests first, then what they leave behind.
    """

    name: ClassVar[str]
    requires: ClassVar[Sequence[str]] = ()
    after: ClassVar[Sequence[str]] = ()
    """Plug-ins whose hooks run first in processes that load them."""
    settings_section: ClassVar[str] = ""
    settings_class: ClassVar[type | None] = None
    messages: ClassVar[Sequence[type]] = ()
    slices: ClassVar[Sequence[type["Slice"]]] = ()
    checks: ClassVar[Sequence[Check]] = ()
    declared_kinds: ClassVar[Sequence["DeclaredKind"]] = ()
    audited: ClassVar[Mapping[type, "Subject"]] = {}
    """What each command that goes into the audit trail is about."""

    def __init_subclass__(cls) -> None:
        """Register the plug-in with the kernel."""
        registry.register(cls)

    def ready(self, app: "Application") -> None:
        """Create the plug-in's objects and register routes; no I/O."""

    async def start(self, app: "Application") -> None:
        """Load state and start tasks."""

    async def serve(self, app: "Application") -> None:
        """Open listeners; every plug-in has started."""

    async def leave(self, app: "Application") -> None:
        """Stop attracting and accepting work."""

    async def drain(self, app: "Application") -> None:
        """Wait for the work in progress."""

    async def stop(self, app: "Application") -> None:
        """Release what ``start`` opened."""
