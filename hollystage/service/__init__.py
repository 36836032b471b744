"""The real service instance: the decision module on real sockets."""
