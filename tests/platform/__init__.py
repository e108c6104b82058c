"""Tests of the adapter to the users' hosting platform."""
