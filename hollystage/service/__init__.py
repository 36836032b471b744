"""The service instance: runs the decision module on real sockets."""
