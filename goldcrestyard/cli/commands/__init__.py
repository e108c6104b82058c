"""The commands of the tool, one in each module."""
