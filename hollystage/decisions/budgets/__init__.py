"""Budgets of the whole fleet, divided among its live processes without exceeding the total at any time."""
