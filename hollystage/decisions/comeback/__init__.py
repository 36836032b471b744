"""Coming back when most have died at once, or what was learned is lost."""
