"""HTTP front end of entries for callers and trainers."""
