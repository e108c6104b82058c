"""The kernel: application object, plug-in registry, settings and logging.

All features that users see come from the plug-ins.
"""
