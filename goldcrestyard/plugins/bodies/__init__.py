"""The store of sample and outcome bodies on the control members."""
