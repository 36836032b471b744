fleet(instances = True)
