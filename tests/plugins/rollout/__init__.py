"""Tests of the rollout plug-in."""
