"""Jobs of trainers: kept, run and read."""
