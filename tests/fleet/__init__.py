"""Tests of the plug-ins of self-assembling deployments."""
