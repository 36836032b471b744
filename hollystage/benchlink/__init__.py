"""Adapter that runs decision modules for the simulated servers of the bench, over its binary protocol."""
