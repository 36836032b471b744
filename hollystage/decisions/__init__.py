"""What subsystems decide, one folder a matter: no I/O, no thread, no clock. Times are handed in, in microseconds."""
