"""What a notice to leave means, and when it was given."""
