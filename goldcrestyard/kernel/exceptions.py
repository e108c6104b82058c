"""Exceptions of the kernel; each says what to do."""


class KernelError(Exception):
    """Base class of the kernel's exceptions."""


class PluginOrderError(KernelError):
    """Plug-ins require each other in a cycle, or one that is missing."""


class ServiceMissingError(KernelError):
    """An object was asked for that no plug-in provides."""
