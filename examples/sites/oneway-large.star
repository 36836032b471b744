load("shared/shapes.star", "oneway")

oneway(
    cores = 2,
    peers = 280,
    quotas = {"desks": 1200/s, "web": 850/s, "agents": 400/s},
    cold = True,
)
