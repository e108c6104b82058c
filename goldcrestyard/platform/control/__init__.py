"""HTTP front ends of control members.

They serve operators, trainers, targets and service discovery.
"""
