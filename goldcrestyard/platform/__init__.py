"""Adapter to the users' hosting platform.

This package decodes and encodes all names and formats of the platform's
interfaces.  The packages that it calls make the decisions.
"""
