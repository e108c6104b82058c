"""The kernel: application object, plug-in registry, settings and logging.

It has no functions of its own that users see; those come from the plug-ins.
"""
