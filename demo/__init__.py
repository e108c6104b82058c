"""Stand-ins for outside systems, and the launcher of a local deployment.

The product never imports this package.
"""
