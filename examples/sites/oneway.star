load("shared/shapes.star", "oneway")

oneway(cores = 6, peers = 16, quotas = {"desks": 90/s, "web": 3000/min, "agents": 25/s})
