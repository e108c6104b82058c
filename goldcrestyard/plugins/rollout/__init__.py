"""Rollout of published weights to engines: staging, then activation."""
