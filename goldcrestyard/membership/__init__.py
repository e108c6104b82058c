"""Entry leases, distribution of committed changes, and the body store client.

An entry is a process that serves callers from a local copy of the replicated
state.  It subscribes to the leader of the control members, which pushes
committed changes to it and grants it a lease; without a lease the copy may be
out of date, so the entry refuses requests that need an API key.
"""
