"""Plug-ins of a deployment that forms and operates its cluster by itself."""
