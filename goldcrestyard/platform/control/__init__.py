"""Operators, trainers, targets and the directory, on control members."""
