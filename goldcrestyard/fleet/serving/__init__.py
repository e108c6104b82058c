"""Serving configuration of services, routes, organisations and limits."""
