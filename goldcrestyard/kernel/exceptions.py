"""Exceptions that the kernel raises for faulty plug-in declarations."""


class KernelError(Exception):
    """Base class of the kernel's exceptions."""


class PluginOrderError(KernelError):
    """Plug-ins require each other in a cycle or require a missing one."""


class ServiceMissingError(KernelError):
    """A plug-in asked for an object that no plug-in provides."""
