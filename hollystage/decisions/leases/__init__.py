"""Leases granted by a majority of voters: at most one process of the fleet holds a lease at a time."""
