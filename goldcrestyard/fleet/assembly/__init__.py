"""Bootstraps, extends and repairs the control cluster without an operator."""
