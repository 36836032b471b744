load("shared/shapes.star", "reservations")

reservations(cores = 6, peers = 14)
