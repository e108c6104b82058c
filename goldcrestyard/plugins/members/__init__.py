"""The operators' API for control members and the instance's status."""
