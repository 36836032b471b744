a=1
b=0
fleet(instances=3 if a and not b or b and a else 2)
