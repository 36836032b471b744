"""Fleet membership: each instance's view of the other instances."""
