fleet(instances = 3s)
