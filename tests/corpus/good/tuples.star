a,b=1,(2,)
c=(a,b,)
fleet(instances=len(c)+a)
