"""Adapter to the users' hosting platform.

All names and formats of the platform's interfaces are in this package; the
decisions are made by the packages that it calls.
"""
