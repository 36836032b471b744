"""Who is there: each instance's view of the others."""
