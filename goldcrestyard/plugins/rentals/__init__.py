"""Rentals: renting targets from the hosting platform and returning them."""
