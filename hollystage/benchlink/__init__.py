"""Hosts instances of the decision module on the bench's wire. The bench's servers are simulated."""
