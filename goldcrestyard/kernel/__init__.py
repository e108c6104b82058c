"""Application object, plug-in registry, settings, checks and clock."""
