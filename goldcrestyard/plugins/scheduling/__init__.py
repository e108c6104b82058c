"""Queueing of requests and their assignment to targets."""
