_x=-1+-2*-3--4
_y=not not True
fleet(instances=7//2+7%4)
