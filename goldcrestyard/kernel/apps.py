"""Base class of plug-ins: what a plug-in declares and its hooks."""

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, ClassVar

from goldcrestyard.kernel import registry
from goldcrestyard.kernel.checks import Check

if TYPE_CHECKING:
    from goldcrestyard.kernel.application import Application
    from goldcrestyard.state.declarations import DeclaredKind, Subject
    from goldcrestyard.state.slices import Slice


class PluginConfig:
    """Declares a plug-in and its life-cycle hooks.

    A subclass in ``plugins/<name>/apps.py`` registers itself when that
    module is imported.  A plug-in's hooks run after those of the plug-ins that
    it requires; ``leave`` and ``stop`` run in reverse order.  A planned stop
    thus first removes this process from the addresses published to callers,
    then closes the listeners, and then drains in the direction in which work
    flows: callers' requests first, then the work that results from them.
    """

    name: ClassVar[str]
    requires: ClassVar[Sequence[str]] = ()
    after: ClassVar[Sequence[str]] = ()
    """Names of plug-ins that start before this one if they are loaded."""
    settings_section: ClassVar[str] = ""
    settings_class: ClassVar[type | None] = None
    messages: ClassVar[Sequence[type]] = ()
    slices: ClassVar[Sequence[type["Slice"]]] = ()
    checks: ClassVar[Sequence[Check]] = ()
    declared_kinds: ClassVar[Sequence["DeclaredKind"]] = ()
    audited: ClassVar[Mapping[type, "Subject"]] = {}
    """Functions that return the subject of a command for the audit trail, by
    command class.  Commands without one are not audited."""

    def __init_subclass__(cls) -> None:
        """Register the plug-in class with the kernel's registry."""
        registry.register(cls)

    def ready(self, app: "Application") -> None:
        """Create the plug-in's objects and register handlers; no I/O."""

    async def start(self, app: "Application") -> None:
        """Load stored state and start tasks."""

    async def serve(self, app: "Application") -> None:
        """Open listeners; called when every plug-in has started."""

    async def leave(self, app: "Application") -> None:
        """Stop advertising this process and accepting new work."""

    async def drain(self, app: "Application") -> None:
        """Wait until the work in progress is finished."""

    async def stop(self, app: "Application") -> None:
        """Release the resources that ``start`` and ``serve`` opened."""
