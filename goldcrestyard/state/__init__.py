"""The replicated state machine, and the base class of its slices.

Each plug-in keeps its part of the replicated state in a slice, which applies
the plug-in's committed commands.
"""
