"""The rig: many processes of the program on one machine, a switchboard between them, and faults on command."""
