"""Decision logic, one package a subsystem. No I/O, threads or clock: callers pass the time in microseconds."""
