"""Autoscaling: rents targets for the items that trainers submit."""
