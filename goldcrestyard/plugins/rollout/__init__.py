"""Brings published weights to the engines: staged first, then activated."""
