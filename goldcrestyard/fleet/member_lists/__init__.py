"""Distribution of the control members' addresses to the entries."""
