load("shared/shapes.star", "reservations")

reservations(cores = 2, peers = 300, cold = True)
