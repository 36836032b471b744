"""hollystage: admission and scheduling inside servers that stand behind other people's balancers."""
