"""Targets rented as trainers need them."""
