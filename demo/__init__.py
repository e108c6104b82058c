"""Launcher of a local deployment, with stand-ins for outside systems.

The product never imports this package.
"""
