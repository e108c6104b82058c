"""Plain services: requests of any method, passed on to their targets."""
