def first(values):
    for v in values:
        if v==2: continue
        if v>2:
            break
    return v
fleet(instances=first([1,2,3,4]))
