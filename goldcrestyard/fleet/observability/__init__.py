"""Counters and histograms of a deployment that assembles itself."""
