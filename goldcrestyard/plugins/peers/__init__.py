"""Connections between the instances of a deployment."""
