"""Model lines and the weight versions that their trainers published."""
