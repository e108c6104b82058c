"""Plug-ins of a deployment that assembles and steers itself."""
