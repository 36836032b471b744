def f(x):
    # before
    if x: # why
        # deep
        return 1 # one
        # after one
    # between
    else:
        return 2
    # end of f
# outside
fleet(instances=f(True))
