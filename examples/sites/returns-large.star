load("shared/shapes.star", "returns")

returns(cores = 2, peers = 250, cold = True)
