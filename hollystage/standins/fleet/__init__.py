"""Test rig: many hollystage processes on one machine, connected by a switchboard that injects faults on command."""
