"""The replicated log of machines that find each other."""
