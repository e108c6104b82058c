"""Tests of the plug-in for inference requests."""
