"""Weights: model lines and the published weight versions of each."""
