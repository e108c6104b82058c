"""The operators' API: plans, keys, targets and entries."""
