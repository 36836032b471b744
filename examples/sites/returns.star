load("shared/shapes.star", "returns")

returns(cores = 6, peers = 4)
