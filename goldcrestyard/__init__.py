"""A rollout service for reinforcement learning and live inference."""

__version__ = "0.1.0"
