_x=[0.5,1/3,10%3,2.50]
fleet(instances=round(10/3))
