"""Recovery after a restart: of one instance that lost its learned state, or of most of the fleet at once."""
